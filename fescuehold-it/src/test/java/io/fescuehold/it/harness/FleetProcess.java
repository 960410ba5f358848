package io.fescuehold.it.harness;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * A process that the harness has started.
 */
public final class FleetProcess {

	private static final Duration KILL_TIMEOUT = Duration.ofSeconds(5);

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final String name;

	private final Process process;

	private final Path output;

	private final Path log;

	FleetProcess(String name, Process process, Path output, Path log) {
		this.name = name;
		this.process = process;
		this.output = output;
		this.log = log;
	}

	/**
	 * Returns the name of the process.
	 * @return the name
	 */
	public String name() {
		return this.name;
	}

	/**
	 * Returns whether the process exists, running or suspended.
	 * @return whether it has not exited
	 */
	public boolean isAlive() {
		return this.process.isAlive();
	}

	/**
	 * Returns what the process has written to standard output.
	 * @return the text
	 */
	public String output() {
		return read(this.output);
	}

	/**
	 * Returns what the process has written to standard error, its log.
	 * @return the text
	 */
	public String log() {
		return read(this.log);
	}

	private static String read(Path file) {
		try {
			return Files.readString(file);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Returns a port from the line of JSON that a stand-in prints when it is ready.
	 * @param key the name of the port, for example {@code port} or {@code adminPort}
	 * @return the port
	 */
	public int port(String key) {
		String line = output().lines().findFirst().orElseThrow();
		try {
			JsonNode port = MAPPER.readTree(line).path(key);
			if (port.isInt()) {
				return port.asInt();
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		throw new IllegalStateException("Process " + this.name + " printed no port \"" + key + "\": " + line);
	}

	/**
	 * Kills the process without a graceful stop, as when its host fails.
	 */
	public void kill() {
		this.process.destroyForcibly();
		await(KILL_TIMEOUT);
	}

	/**
	 * Suspends the process with SIGSTOP; its connections stay open.
	 */
	public void freeze() {
		signal("STOP");
	}

	/**
	 * Resumes a suspended process with SIGCONT.
	 */
	public void resume() {
		signal("CONT");
	}

	/**
	 * Stops the process gracefully and waits until it has exited.
	 * @param timeout the longest time to wait
	 * @return the exit code
	 * @throws AssertionError if the process is still running after that time
	 */
	public int stop(Duration timeout) {
		this.process.destroy();
		if (!await(timeout)) {
			throw new AssertionError("Process " + this.name + " did not stop within " + timeout.toMillis() + " ms");
		}
		return this.process.exitValue();
	}

	/**
	 * Waits until the process has exited.
	 * @param timeout the longest time to wait
	 * @return whether it has exited
	 */
	public boolean await(Duration timeout) {
		try {
			return this.process.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("The wait was interrupted", ex);
		}
	}

	int exitCode() {
		return this.process.exitValue();
	}

	private void signal(String signal) {
		if (!isAlive()) {
			throw new IllegalStateException("Process " + this.name + " has exited and cannot receive SIG" + signal);
		}
		try {
			Process kill = new ProcessBuilder("kill", "-" + signal, Long.toString(this.process.pid())).start();
			if (kill.waitFor() != 0) {
				throw new IllegalStateException("kill -" + signal + " of process " + this.name + " failed");
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("The wait was interrupted", ex);
		}
	}

}
