package io.fescuehold.runtime.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/**
 * File operations of the store, replaceable in tests.
 */
class Disk {

	/**
	 * Writes bytes at a position.
	 * @param channel the file
	 * @param bytes the bytes
	 * @param position the position
	 * @throws IOException if the write fails; the file may then hold part of the bytes
	 */
	void write(FileChannel channel, ByteBuffer bytes, long position) throws IOException {
		long offset = position;
		while (bytes.hasRemaining()) {
			offset += channel.write(bytes, offset);
		}
	}

	/**
	 * Makes a file's content durable.
	 * @param channel the file
	 * @throws IOException if the sync fails; the content is then unknown
	 */
	void sync(FileChannel channel) throws IOException {
		channel.force(false);
	}

	/**
	 * Makes the entries of a folder durable, for example after a rename.
	 * @param folder the folder
	 * @throws IOException if the sync fails
	 */
	void syncFolder(Path folder) throws IOException {
		try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
			channel.force(true);
		}
	}

	/**
	 * Returns the free space that is available to this process.
	 * @param folder the folder
	 * @return the space in bytes
	 * @throws IOException if the space cannot be determined
	 */
	long usableBytes(Path folder) throws IOException {
		return Files.getFileStore(folder).getUsableSpace();
	}

	/**
	 * Returns the size of the disk.
	 * @param folder the folder
	 * @return the size in bytes
	 * @throws IOException if the size cannot be determined
	 */
	long totalBytes(Path folder) throws IOException {
		return Files.getFileStore(folder).getTotalSpace();
	}

	/**
	 * Replaces a file atomically: writes and syncs a temporary file, renames it and syncs
	 * the folder.
	 * @param file the file
	 * @param parts the content
	 * @throws IOException if a step fails; a failure before the rename leaves the file
	 * unchanged
	 */
	void replace(Path file, ByteBuffer... parts) throws IOException {
		Path temporary = file.resolveSibling(file.getFileName() + DiskStorage.TEMPORARY_SUFFIX);
		try (FileChannel channel = FileChannel.open(temporary, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
				StandardOpenOption.TRUNCATE_EXISTING)) {
			long position = 0;
			for (ByteBuffer part : parts) {
				int size = part.remaining();
				write(channel, part, position);
				position += size;
			}
			sync(channel);
		}
		catch (IOException ex) {
			Files.deleteIfExists(temporary);
			throw ex;
		}
		Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
		syncFolder(file.getParent());
	}

}
