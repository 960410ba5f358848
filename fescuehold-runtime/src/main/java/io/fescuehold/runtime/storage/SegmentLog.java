package io.fescuehold.runtime.storage;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

import io.fescuehold.core.agreement.HardState;
import io.fescuehold.core.agreement.LogEntry;
import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;

/**
 * Segment files that hold entries, terms and votes in the order of their writes. Each
 * segment begins with the term and vote, so older segments can be deleted.
 */
final class SegmentLog {

	private static final String PREFIX = "log-";

	private static final String SUFFIX = ".seg";

	private final Path folder;

	private final Disk disk;

	private final long segmentBytes;

	private final List<Segment> segments = new ArrayList<>();

	private final TreeMap<Long, LogEntry> loaded = new TreeMap<>();

	private final ByteArrayOutputStream unsynced = new ByteArrayOutputStream();

	private long unsyncedMaxIndex;

	private HardState hardState = HardState.INITIAL;

	private FileChannel channel;

	private long position;

	SegmentLog(Path folder, Disk disk, long segmentBytes) {
		this.folder = folder;
		this.disk = disk;
		this.segmentBytes = segmentBytes;
	}

	/**
	 * Creates the first segment if there is none.
	 * @throws IOException if the file cannot be written
	 */
	void create() throws IOException {
		if (list().isEmpty()) {
			startSegment(1);
			this.channel.close();
			this.channel = null;
			this.segments.clear();
		}
	}

	/**
	 * Reads all segments, cuts a torn tail and opens the last segment for writes.
	 * @throws IOException if a file cannot be read or cut
	 */
	void open() throws IOException {
		List<Path> files = list();
		for (int i = 0; i < files.size(); i++) {
			readSegment(files.get(i), i == files.size() - 1);
		}
		if (this.segments.isEmpty()) {
			throw damaged(this.folder, 0, "the log is missing");
		}
		this.channel = FileChannel.open(this.segments.getLast().file, StandardOpenOption.WRITE);
		this.position = this.channel.size();
	}

	HardState hardState() {
		return this.hardState;
	}

	/**
	 * Returns the entries read by {@link #open()} and forgets them.
	 * @return the entries in order
	 */
	List<LogEntry> takeLoaded() {
		List<LogEntry> entries = List.copyOf(this.loaded.values());
		this.loaded.clear();
		return entries;
	}

	Path lastFile() {
		return this.segments.getLast().file;
	}

	void add(LogRecord item) {
		switch (item) {
			case LogRecord.Vote vote -> this.hardState = vote.state();
			case LogRecord.Entry entry ->
				this.unsyncedMaxIndex = Math.max(this.unsyncedMaxIndex, entry.entry().index());
			case LogRecord.Reset reset -> {
			}
		}
		this.unsynced.writeBytes(item.toBytes());
	}

	/**
	 * Writes the records added since the last sync as one batch.
	 * @throws IOException if the write fails; the file is cut back to its last sync and
	 * the records are kept for another attempt
	 */
	void write() throws IOException {
		if (this.unsynced.size() == 0) {
			return;
		}
		if (this.position >= this.segmentBytes) {
			startSegment(this.segments.getLast().number + 1);
		}
		ByteBuffer content = ByteBuffer.wrap(this.unsynced.toByteArray());
		int size = Batch.HEADER_BYTES + content.remaining();
		ByteBuffer batch = ByteBuffer.allocate(size).put(Batch.header(content)).put(content).flip();
		try {
			this.disk.write(this.channel, batch, this.position);
		}
		catch (IOException ex) {
			this.channel.truncate(this.position);
			throw ex;
		}
		this.position += size;
		Segment last = this.segments.getLast();
		last.maxIndex = Math.max(last.maxIndex, this.unsyncedMaxIndex);
		this.unsynced.reset();
		this.unsyncedMaxIndex = 0;
	}

	void sync() throws IOException {
		this.disk.sync(this.channel);
	}

	/**
	 * Deletes the oldest segments as far as they have no entry that is still needed.
	 * @param keepFromIndex the first index that is kept
	 * @throws IOException if a file cannot be deleted
	 */
	void deleteBefore(long keepFromIndex) throws IOException {
		boolean deleted = false;
		while (this.segments.size() > 1 && this.segments.getFirst().maxIndex < keepFromIndex) {
			Files.deleteIfExists(this.segments.removeFirst().file);
			deleted = true;
		}
		if (deleted) {
			this.disk.syncFolder(this.folder);
		}
	}

	void close() throws IOException {
		if (this.channel != null) {
			this.channel.close();
		}
	}

	private void startSegment(long number) throws IOException {
		Path file = this.folder.resolve(String.format("%s%020d%s", PREFIX, number, SUFFIX));
		ByteBuffer content = ByteBuffer.wrap(new LogRecord.Vote(this.hardState).toBytes());
		ByteBuffer header = Batch.header(content);
		int size = header.remaining() + content.remaining();
		this.disk.replace(file, header, content);
		if (this.channel != null) {
			this.channel.close();
		}
		this.segments.add(new Segment(number, file));
		this.channel = FileChannel.open(file, StandardOpenOption.WRITE);
		this.position = size;
	}

	private void readSegment(Path file, boolean last) throws IOException {
		String name = file.getFileName().toString();
		long number = Long.parseLong(name.substring(PREFIX.length(), name.length() - SUFFIX.length()));
		if (!this.segments.isEmpty() && this.segments.getLast().number + 1 != number) {
			throw damaged(file, 0, "the segment before it is missing");
		}
		Segment segment = new Segment(number, file);
		this.segments.add(segment);
		ByteBuffer content = ByteBuffer.wrap(Files.readAllBytes(file));
		int at = 0;
		while (at < content.limit()) {
			int size = Batch.sizeAt(content, at);
			if (size < 0) {
				// The first batch is written before the file gets its name.
				if (!last || at == 0 || Batch.existsAfter(content, at)) {
					throw damaged(file, at, "a synced record is not valid");
				}
				cut(file, at);
				return;
			}
			for (LogRecord item : Batch.records(content, at, size)) {
				replay(segment, file, at, item);
			}
			at += size;
		}
	}

	private void replay(Segment segment, Path file, int at, LogRecord item) {
		switch (item) {
			case LogRecord.Vote vote -> this.hardState = vote.state();
			case LogRecord.Reset reset -> this.loaded.clear();
			case LogRecord.Entry entry -> {
				long index = entry.entry().index();
				if (!this.loaded.isEmpty() && index > this.loaded.lastKey() + 1) {
					throw damaged(file, at, "entry " + index + " follows entry " + this.loaded.lastKey());
				}
				this.loaded.tailMap(index, true).clear();
				this.loaded.put(index, entry.entry());
				segment.maxIndex = Math.max(segment.maxIndex, index);
			}
		}
	}

	private void cut(Path file, long size) throws IOException {
		try (FileChannel tail = FileChannel.open(file, StandardOpenOption.WRITE)) {
			tail.truncate(size);
			this.disk.sync(tail);
		}
	}

	private FescueholdException damaged(Path file, long offset, String reason) {
		return new FescueholdException(ErrorCode.STORAGE_DAMAGED, file, offset,
				reason + "; remove the folder \"" + this.folder + "\" and replace this replica");
	}

	private List<Path> list() throws IOException {
		List<Path> files = new ArrayList<>();
		try (DirectoryStream<Path> found = Files.newDirectoryStream(this.folder, PREFIX + "*" + SUFFIX)) {
			found.forEach(files::add);
		}
		files.sort(null);
		return files;
	}

	/**
	 * A segment file.
	 */
	private static final class Segment {

		private final long number;

		private final Path file;

		private long maxIndex;

		private Segment(long number, Path file) {
			this.number = number;
			this.file = file;
		}

	}

}
