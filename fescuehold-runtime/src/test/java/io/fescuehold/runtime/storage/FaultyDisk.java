package io.fescuehold.runtime.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.util.List;

/**
 * A disk whose writes and syncs can be made to fail.
 */
class FaultyDisk extends Disk {

	boolean syncFails;

	/** A larger write fails after this number of bytes has reached the file. */
	int bytesBeforeFull = Integer.MAX_VALUE;

	long usableBytes = Long.MAX_VALUE;

	int syncs;

	/**
	 * The position and size of a write whose sync failed and that has not been repeated
	 * and synced since, or null. It can be read, but may be missing after a power loss.
	 */
	List<Long> unsafeWrite;

	private List<Long> lastWrite;

	@Override
	void write(FileChannel channel, ByteBuffer bytes, long position) throws IOException {
		if (bytes.remaining() > this.bytesBeforeFull) {
			super.write(channel, bytes.slice(0, this.bytesBeforeFull), position);
			throw new IOException("No space left on device");
		}
		this.lastWrite = List.of(position, (long) bytes.remaining());
		super.write(channel, bytes, position);
	}

	@Override
	void sync(FileChannel channel) throws IOException {
		if (this.syncFails) {
			this.unsafeWrite = this.lastWrite;
			this.lastWrite = null;
			throw new IOException("Input/output error");
		}
		this.syncs++;
		if (this.lastWrite != null && this.lastWrite.equals(this.unsafeWrite)) {
			this.unsafeWrite = null;
		}
		super.sync(channel);
	}

	@Override
	long usableBytes(Path folder) {
		return this.usableBytes;
	}

}
