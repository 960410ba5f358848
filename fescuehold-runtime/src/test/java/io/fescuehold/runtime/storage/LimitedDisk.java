package io.fescuehold.runtime.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

import io.fescuehold.core.port.ReplicaStorage;

/**
 * A small disk that can be full for a time. A full disk refuses every write and creation
 * of a file, and some of its syncs.
 */
public final class LimitedDisk extends Disk {

	private final Path folder;

	private final long capacityBytes;

	private volatile boolean full;

	private volatile boolean syncsFail;

	private volatile long reservedBytes;

	/**
	 * Creates an empty disk.
	 * @param folder the folder that holds its files
	 * @param capacityBytes the size of the disk in bytes
	 */
	public LimitedDisk(Path folder, long capacityBytes) {
		this.folder = folder;
		this.capacityBytes = capacityBytes;
	}

	/**
	 * Opens the store on this disk.
	 * @return the store, with the options of a daemon
	 */
	public ReplicaStorage open() {
		if (this.full && !DiskStorage.exists(this.folder)) {
			throw new IllegalStateException("A test may not create a store on a full disk");
		}
		return new DiskStorage(this.folder, this);
	}

	/**
	 * Fills the disk or makes room.
	 * @param nowFull whether the disk takes no more bytes
	 * @param nowFailing whether syncs fail as well
	 */
	public void setFull(boolean nowFull, boolean nowFailing) {
		this.full = nowFull;
		this.syncsFail = nowFull && nowFailing;
	}

	/**
	 * Sets the bytes that others use.
	 * @param bytes the number of bytes
	 */
	public void setReservedBytes(long bytes) {
		this.reservedBytes = bytes;
	}

	@Override
	void write(FileChannel channel, ByteBuffer bytes, long position) throws IOException {
		long more = position + bytes.remaining() - channel.size();
		if (this.full || more > free()) {
			throw new IOException("No space left on device");
		}
		super.write(channel, bytes, position);
	}

	@Override
	void sync(FileChannel channel) throws IOException {
		if (this.syncsFail) {
			throw new IOException("No space left on device");
		}
	}

	@Override
	void syncFolder(Path synced) throws IOException {
		if (this.syncsFail) {
			throw new IOException("Input/output error");
		}
	}

	@Override
	long usableBytes(Path measured) throws IOException {
		return this.full ? 0 : free();
	}

	@Override
	long totalBytes(Path measured) {
		return this.capacityBytes;
	}

	private long free() throws IOException {
		long used = 0;
		try (Stream<Path> files = Files.list(this.folder)) {
			List<Path> paths = files.toList();
			for (Path file : paths) {
				try {
					used += Files.size(file);
				}
				catch (NoSuchFileException ex) {
					// Deleted meanwhile.
				}
			}
		}
		return Math.max(0, this.capacityBytes - this.reservedBytes - used);
	}

}
