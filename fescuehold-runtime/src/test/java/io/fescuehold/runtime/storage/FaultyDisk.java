package io.fescuehold.runtime.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;

/**
 * A disk whose writes and syncs can be made to fail.
 */
class FaultyDisk extends Disk {

	boolean syncFails;

	/** A larger write fails after this number of bytes has reached the file. */
	int bytesBeforeFull = Integer.MAX_VALUE;

	long usableBytes = Long.MAX_VALUE;

	int syncs;

	@Override
	void write(FileChannel channel, ByteBuffer bytes, long position) throws IOException {
		if (bytes.remaining() > this.bytesBeforeFull) {
			super.write(channel, bytes.slice(0, this.bytesBeforeFull), position);
			throw new IOException("No space left on device");
		}
		super.write(channel, bytes, position);
	}

	@Override
	void sync(FileChannel channel) throws IOException {
		if (this.syncFails) {
			throw new IOException("Input/output error");
		}
		this.syncs++;
		super.sync(channel);
	}

	@Override
	long usableBytes(Path folder) {
		return this.usableBytes;
	}

}
