package io.fescuehold.runtime.storage;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * A small text file that is replaced as a whole: after a crash, a loss of power or a full
 * disk it holds either the old lines or the new ones.
 */
public final class DurableFile {

	private final Path file;

	private final Disk disk;

	/**
	 * Creates an accessor without touching the file.
	 * @param file the file
	 */
	public DurableFile(Path file) {
		this(file, new Disk());
	}

	DurableFile(Path file, Disk disk) {
		this.file = file;
		this.disk = disk;
	}

	/**
	 * Returns whether the file has been written.
	 * @return whether it exists
	 */
	public boolean exists() {
		return Files.exists(this.file);
	}

	/**
	 * Reads the file.
	 * @return its lines
	 * @throws UncheckedIOException if it cannot be read
	 */
	public List<String> read() {
		try {
			return Files.readAllLines(this.file);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Replaces the content, and creates the folder if it is missing.
	 * @param lines the lines
	 * @throws UncheckedIOException if the disk is full or fails; the file is unchanged
	 * unless only the sync of its folder failed
	 */
	public void replace(List<String> lines) {
		StringBuilder text = new StringBuilder();
		lines.forEach((line) -> text.append(line).append('\n'));
		try {
			Files.createDirectories(this.file.getParent());
			this.disk.replace(this.file, ByteBuffer.wrap(text.toString().getBytes(StandardCharsets.UTF_8)));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
