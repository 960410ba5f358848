package io.fescuehold.runtime.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;

import io.fescuehold.core.agreement.SnapshotMeta;
import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.port.ReplicaStorage;

/**
 * The newest snapshot of a store. The file holds one batch, which consists of the index,
 * the term, the membership and the snapshot data.
 */
final class SnapshotFile {

	private static final String PREFIX = "snapshot-";

	private static final String SUFFIX = ".snap";

	private final Path folder;

	private final Disk disk;

	private SnapshotMeta meta;

	private Path file;

	private long dataOffset;

	private long dataBytes;

	SnapshotFile(Path folder, Disk disk) {
		this.folder = folder;
		this.disk = disk;
	}

	SnapshotMeta meta() {
		return this.meta;
	}

	/**
	 * Finds the newest snapshot, verifies its checksum and deletes all others.
	 * @throws IOException if a file cannot be read
	 */
	void open() throws IOException {
		List<Path> files = listFiles();
		if (files.isEmpty()) {
			return;
		}
		Path newest = files.getLast();
		ByteBuffer content = ByteBuffer.wrap(Files.readAllBytes(newest));
		if (Batch.sizeAt(content, 0) != content.limit()) {
			throw new FescueholdException(ErrorCode.STORAGE_DAMAGED, newest, 0,
					"remove the folder \"" + this.folder + "\" and replace this replica");
		}
		content.position(Batch.HEADER_BYTES);
		long index = content.getLong();
		long term = content.getLong();
		byte[] membership = new byte[content.getInt()];
		content.get(membership);
		setNewest(newest, new SnapshotMeta(index, term, membership), content.remaining());
		deleteOthers(files);
	}

	void save(SnapshotMeta snapshot, byte[] data) throws IOException {
		ByteBuffer header = ByteBuffer.allocate(2 * Long.BYTES + Integer.BYTES + snapshot.membership().length)
			.putLong(snapshot.index())
			.putLong(snapshot.term())
			.putInt(snapshot.membership().length)
			.put(snapshot.membership())
			.flip();
		ByteBuffer body = ByteBuffer.wrap(data);
		Path target = this.folder.resolve(String.format("%s%020d%s", PREFIX, snapshot.index(), SUFFIX));
		this.disk.replace(target, Batch.header(header, body), header, body);
		setNewest(target, snapshot, data.length);
		deleteOthers(listFiles());
	}

	byte[] readAll() throws IOException {
		return (this.meta != null) ? read(0, this.dataBytes) : null;
	}

	ReplicaStorage.SnapshotPart readPart(long index, long offset, int maxBytes) throws IOException {
		if (this.meta == null || this.meta.index() != index || offset > this.dataBytes) {
			return null;
		}
		return new ReplicaStorage.SnapshotPart(this.dataBytes,
				read(offset, Math.min(maxBytes, this.dataBytes - offset)));
	}

	private byte[] read(long offset, long size) throws IOException {
		ByteBuffer part = ByteBuffer.allocate(Math.toIntExact(size));
		try (FileChannel channel = FileChannel.open(this.file, StandardOpenOption.READ)) {
			while (part.hasRemaining()) {
				if (channel.read(part, this.dataOffset + offset + part.position()) < 0) {
					throw new IOException("Unexpected end of the snapshot file");
				}
			}
		}
		return part.array();
	}

	private void setNewest(Path path, SnapshotMeta snapshot, long size) {
		this.file = path;
		this.meta = snapshot;
		this.dataBytes = size;
		this.dataOffset = Batch.HEADER_BYTES + 2 * Long.BYTES + Integer.BYTES + snapshot.membership().length;
	}

	private void deleteOthers(List<Path> files) throws IOException {
		for (Path candidate : files) {
			if (!candidate.equals(this.file)) {
				Files.deleteIfExists(candidate);
			}
		}
	}

	private List<Path> listFiles() throws IOException {
		List<Path> files = new ArrayList<>();
		try (DirectoryStream<Path> found = Files.newDirectoryStream(this.folder, PREFIX + "*" + SUFFIX)) {
			found.forEach(files::add);
		}
		files.sort(null);
		return files;
	}

}
