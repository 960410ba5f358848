package io.fescuehold.daemon.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against wrong exit codes and against errors without a remedy.
 */
class CommandLineTests {

	private final ByteArrayOutputStream out = new ByteArrayOutputStream();

	private final ByteArrayOutputStream err = new ByteArrayOutputStream();

	@TempDir
	private Path folder;

	@Test
	void helpListsEveryCommand() {
		assertThat(run("help")).isEqualTo(ExitCode.OK);
		assertThat(text(this.err)).contains("daemon", "check", "submit", "status", "drain", "dump", "replica");
	}

	@Test
	void unknownCommandIsAUsageError() {
		assertThat(run("sbumit")).isEqualTo(ExitCode.USAGE);
		assertThat(text(this.err)).contains("unknown command \"sbumit\"", "use one of");
	}

	@Test
	void invalidSettingsAreAUsageErrorBeforeTheDaemonStarts() throws IOException {
		Path file = Files.writeString(this.folder.resolve("settings.json"), "{\"hostId\": 5}");
		assertThat(run("daemon", "--settings", file.toString())).isEqualTo(ExitCode.USAGE);
		assertThat(text(this.err)).contains("settings.json: /hostId");
	}

	@Test
	void checkPrintsTheDigestOfAConfiguration() {
		assertThat(run("check", "--config", Path.of("..", "examples", "fiji.json").toString())).isEqualTo(ExitCode.OK);
		assertThat(text(this.out)).contains("\"digest\"", "fiji-guests");
	}

	@Test
	void unreachableDaemonHasDistinctExitCode() {
		int code = run("status", "--endpoint", "http://127.0.0.1:1", "--timeout-ms", "2000");
		assertThat(code).isEqualTo(ExitCode.UNREACHABLE);
		assertThat(text(this.err)).contains("send the same change again");
	}

	private int run(String... args) {
		return new CommandLine(new PrintStream(this.out), new PrintStream(this.err)).run(args);
	}

	private static String text(ByteArrayOutputStream stream) {
		return stream.toString(StandardCharsets.UTF_8);
	}

}
