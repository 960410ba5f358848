package io.fescuehold.it;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that {@code bin/sort-crashes} reports every error file of the Java virtual
 * machine as open unless it shows the known crash behind a rewritten system call.
 */
class SortCrashesTests {

	private static final String BYTES_ENDING_IN_JUMP = "  0x00007ffff7ced2df:   24 10 31 c0 e9 11 30 f1 fd";

	@TempDir
	Path folder;

	@Test
	void illegalInstructionBehindARewrittenCallIsReportedAsRewrittenCall() throws IOException, InterruptedException {
		Result result = runScript(log("SIGILL", "C  [libc.so.6+0xf82ef]  read+0x4f", BYTES_ENDING_IN_JUMP));
		assertThat(result.exitCode()).isZero();
		assertThat(result.output()).startsWith("rewritten-call\tedge-a-1\t0.265057 s after its start");
		assertThat(Files.readString(this.folder.resolve("log.crash-1"))).startsWith("# A fatal error")
			.endsWith("END.\n");
	}

	@Test
	void otherSignalIsReportedAsOpen() throws IOException, InterruptedException {
		assertReportedAsOpen(log("SIGSEGV", "C  [libc.so.6+0xf82ef]  read+0x4f", BYTES_ENDING_IN_JUMP));
	}

	@Test
	void otherFrameIsReportedAsOpen() throws IOException, InterruptedException {
		assertReportedAsOpen(log("SIGILL", "J 101 c1 io.fescuehold.Some.method()V", BYTES_ENDING_IN_JUMP));
	}

	@Test
	void otherBytesBeforeTheInstructionAreReportedAsOpen() throws IOException, InterruptedException {
		assertReportedAsOpen(log("SIGILL", "C  [libc.so.6+0xf82ef]  read+0x4f",
				"  0x00007ffff7ced2df:   24 10 31 c0 0f 05 48 3d 00"));
	}

	@Test
	void logWithoutACrashPrintsNothing() throws IOException, InterruptedException {
		assertThat(runScript("  1.0000 edge-a-1 started\n")).isEqualTo(new Result(0, ""));
	}

	private void assertReportedAsOpen(String log) throws IOException, InterruptedException {
		Result result = runScript(log);
		assertThat(result.exitCode()).isEqualTo(1);
		assertThat(result.output()).startsWith("open\tedge-a-1");
	}

	private static String log(String signal, String frame, String precedingBytes) {
		String file = """
				# A fatal error has been detected by the Java Runtime Environment:
				#
				#  %s (0x4) at pc=0x00007ffff7ced2ef, pid=13703, tid=13710
				#
				# Problematic frame:
				# %s
				#
				Time: Tue May 26 06:51:44 2026 UTC elapsed time: 0.265057 seconds (0d 0h 0m 0s)
				Instructions: (pc=0x00007ffff7ced2ef)
				%s
				=>0x00007ffff7ced2ef:   f0 ff ff 77 34 44 89 c7
				END.
				""".formatted(signal, frame, precedingBytes);
		return file.lines().map((line) -> "  12.0000 edge-a-1 " + line + "\n").collect(Collectors.joining())
				+ "  13.0000 edge-a-1 started\n";
	}

	private Result runScript(String log) throws IOException, InterruptedException {
		Path file = Files.writeString(this.folder.resolve("log"), log);
		Process script = new ProcessBuilder("../bin/sort-crashes", file.toString()).redirectErrorStream(true).start();
		String output = new String(script.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
		return new Result(script.waitFor(), output);
	}

	/**
	 * The result of a run of the script.
	 *
	 * @param exitCode the exit code
	 * @param output the output
	 */
	private record Result(int exitCode, String output) {

	}

}
