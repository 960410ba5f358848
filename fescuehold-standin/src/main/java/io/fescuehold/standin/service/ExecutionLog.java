package io.fescuehold.standin.service;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.fescuehold.standin.http.JsonHttp;

/**
 * Log with one JSON line per execution. An execution that changes something is synced to
 * disk before it is counted. The counts are restored from the file when a service
 * restarts.
 */
public final class ExecutionLog implements AutoCloseable {

	private final Map<String, Integer> countsByKey = new TreeMap<>();

	private final FileChannel channel;

	private int total;

	/**
	 * Opens a log and restores the counts from its content.
	 * @param file the file, created if it is missing
	 */
	public ExecutionLog(Path file) {
		try {
			if (file.toAbsolutePath().getParent() != null) {
				Files.createDirectories(file.toAbsolutePath().getParent());
			}
			this.channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
					StandardOpenOption.APPEND);
			byte[] content = Files.readAllBytes(file);
			int end = lengthOfCompleteLines(content);
			if (end < content.length) {
				this.channel.truncate(end);
			}
			for (String line : new String(content, 0, end, StandardCharsets.UTF_8).lines().toList()) {
				count(JsonHttp.MAPPER.readValue(line, Execution.class));
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException("The execution log " + file + " cannot be opened", ex);
		}
	}

	/**
	 * Returns the end of the last complete line. A process that is killed during a write
	 * leaves an incomplete line, whose execution was never acknowledged.
	 * @param content the content of the file
	 * @return the length of the complete lines in bytes
	 */
	private static int lengthOfCompleteLines(byte[] content) {
		int end = content.length;
		while (end > 0 && content[end - 1] != '\n') {
			end--;
		}
		return end;
	}

	/**
	 * Appends an execution and syncs it if it changes something.
	 * @param execution the execution
	 */
	synchronized void append(Execution execution) {
		String line = new String(JsonHttp.print(execution), StandardCharsets.UTF_8) + "\n";
		try {
			ByteBuffer bytes = ByteBuffer.wrap(line.getBytes(StandardCharsets.UTF_8));
			while (bytes.hasRemaining()) {
				this.channel.write(bytes);
			}
			if (execution.changes()) {
				this.channel.force(false);
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException("The execution log cannot be written", ex);
		}
		count(execution);
	}

	private void count(Execution execution) {
		this.total++;
		if (execution.key() != null) {
			this.countsByKey.merge(execution.key(), 1, Integer::sum);
		}
	}

	/**
	 * Returns the numbers of executions so far.
	 * @return the counts
	 */
	public synchronized Counts counts() {
		return new Counts(this.total, Map.copyOf(this.countsByKey));
	}

	@Override
	public void close() {
		try {
			this.channel.close();
		}
		catch (IOException ex) {
			throw new UncheckedIOException("The execution log cannot be closed", ex);
		}
	}

	/**
	 * An execution.
	 *
	 * @param key the idempotency key, or null
	 * @param fencingNumber the fencing number, or null
	 * @param method the HTTP method
	 * @param path the path
	 * @param atMs the time in milliseconds since the epoch
	 */
	@JsonInclude(JsonInclude.Include.NON_NULL)
	record Execution(String key, Long fencingNumber, String method, String path, long atMs) {

		boolean changes() {
			return !"GET".equals(this.method) && !"HEAD".equals(this.method);
		}

	}

	/**
	 * Numbers of executions.
	 *
	 * @param total the number of all executions
	 * @param keys the number of executions by idempotency key
	 */
	public record Counts(int total, Map<String, Integer> keys) {

		/**
		 * Returns how often the call with a key was executed.
		 * @param key the idempotency key
		 * @return the number of executions
		 */
		public int of(String key) {
			return this.keys.getOrDefault(key, 0);
		}

		/**
		 * Returns the highest number of executions of one key.
		 * @return the number, 0 if nothing was executed
		 */
		public int highest() {
			return this.keys.values().stream().mapToInt(Integer::intValue).max().orElse(0);
		}

	}

}
