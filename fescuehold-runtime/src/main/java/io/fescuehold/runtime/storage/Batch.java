package io.fescuehold.runtime.storage;

import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * The framing of segment and snapshot files: a magic number, the length of the content in
 * bytes, a CRC-32C over length and content, and the content. One batch holds everything
 * that one sync makes durable, and the next batch is written only after that sync. An
 * invalid batch before a valid one is therefore corruption and not a torn write.
 */
final class Batch {

	/** The size of the framing in bytes. */
	static final int HEADER_BYTES = 12;

	/** "FSC2" in ASCII. */
	private static final int MAGIC = 0x46534332;

	private Batch() {
	}

	static ByteBuffer header(ByteBuffer... parts) {
		int length = 0;
		for (ByteBuffer part : parts) {
			length += part.remaining();
		}
		ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES).putInt(MAGIC).putInt(length);
		return header.putInt(checksum(length, parts)).flip();
	}

	/**
	 * Returns the size of the valid batch at a position, or -1 if there is none.
	 * @param file the content of the file
	 * @param position the position
	 * @return the size in bytes including the framing, or -1
	 */
	static int sizeAt(ByteBuffer file, int position) {
		if (file.limit() - position < HEADER_BYTES || file.getInt(position) != MAGIC) {
			return -1;
		}
		int length = file.getInt(position + Integer.BYTES);
		if (length < 0 || length > file.limit() - position - HEADER_BYTES) {
			return -1;
		}
		ByteBuffer content = file.slice(position + HEADER_BYTES, length);
		int checksum = file.getInt(position + 2 * Integer.BYTES);
		return (checksum(length, content) != checksum) ? -1 : HEADER_BYTES + length;
	}

	/**
	 * Returns whether a valid batch starts after a position.
	 * @param file the content of the file
	 * @param position the position
	 * @return whether a later batch is valid
	 */
	static boolean existsAfter(ByteBuffer file, int position) {
		for (int at = position + 1; at <= file.limit() - HEADER_BYTES; at++) {
			if (file.getInt(at) == MAGIC && sizeAt(file, at) > 0) {
				return true;
			}
		}
		return false;
	}

	static List<LogRecord> records(ByteBuffer file, int position, int size) throws IOException {
		byte[] content = new byte[size - HEADER_BYTES];
		file.get(position + HEADER_BYTES, content);
		List<LogRecord> records = new ArrayList<>();
		try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(content))) {
			while (in.available() > 0) {
				records.add(LogRecord.read(in));
			}
		}
		catch (EOFException ex) {
			throw new IOException("A record is incomplete", ex);
		}
		return records;
	}

	private static int checksum(int length, ByteBuffer... parts) {
		CRC32C crc = new CRC32C();
		crc.update(ByteBuffer.allocate(Integer.BYTES).putInt(length).flip());
		for (ByteBuffer part : parts) {
			crc.update(part.duplicate());
		}
		return (int) crc.getValue();
	}

}
