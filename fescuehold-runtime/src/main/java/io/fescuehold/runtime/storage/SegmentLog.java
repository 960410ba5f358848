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
 * A log in segment files, which hold entries, terms and votes in write order. Each
 * segment begins with the current term and vote, so that older segments can be deleted.
 */
final class SegmentLog {

	private static final String PREFIX = "log-";

	private static final String SUFFIX = ".seg";

	private final Path folder;

	private final Disk disk;

	private final long segmentBytes;

	private final List<Segment> segments = new ArrayList<>();

	private final TreeMap<Long, LogEntry> loadedEntries = new TreeMap<>();

	private final ByteArrayOutputStream unwrittenRecords = new ByteArrayOutputStream();

	private long unwrittenMaxIndex;

	private HardState hardState = HardState.INITIAL;

	private FileChannel channel;

	private long position;

	/** The last batch read, until it is durable. */
	private ByteBuffer lastBatch;

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
		if (listFiles().isEmpty()) {
			startSegment(1);
			this.channel.close();
			this.channel = null;
			this.segments.clear();
		}
	}

	/**
	 * Reads all segments, removes a torn write from the end of the last one, makes its
	 * last batch durable and opens it for writes.
	 * @throws IOException if a file cannot be read or written
	 */
	void open() throws IOException {
		List<Path> files = listFiles();
		for (int i = 0; i < files.size(); i++) {
			readSegment(files.get(i), i == files.size() - 1);
		}
		if (this.segments.isEmpty()) {
			throw damaged(this.folder, 0, "the log is missing");
		}
		this.channel = FileChannel.open(this.segments.getLast().file, StandardOpenOption.WRITE);
		this.position = this.channel.size();
		rewriteLastBatch();
	}

	// The sync of the last batch may be missing or may have failed. After a failed sync
	// the batch can still be read although the operating system will not write it again.
	private void rewriteLastBatch() throws IOException {
		if (this.lastBatch != null) {
			this.disk.write(this.channel, this.lastBatch, this.position - this.lastBatch.remaining());
			this.disk.sync(this.channel);
			this.lastBatch = null;
		}
	}

	HardState hardState() {
		return this.hardState;
	}

	/**
	 * Returns the entries read by {@link #open()} and releases them.
	 * @return the entries in order
	 */
	List<LogEntry> takeLoadedEntries() {
		List<LogEntry> entries = List.copyOf(this.loadedEntries.values());
		this.loadedEntries.clear();
		return entries;
	}

	Path lastFile() {
		return this.segments.getLast().file;
	}

	void add(LogRecord logRecord) {
		switch (logRecord) {
			case LogRecord.Vote vote -> this.hardState = vote.state();
			case LogRecord.Entry entry ->
				this.unwrittenMaxIndex = Math.max(this.unwrittenMaxIndex, entry.entry().index());
			case LogRecord.Reset reset -> {
			}
		}
		this.unwrittenRecords.writeBytes(logRecord.toBytes());
	}

	/**
	 * Writes the records added since the last write as one batch.
	 * @throws IOException if the write fails; the file is truncated to its previous
	 * length and the records are kept for another attempt
	 */
	void write() throws IOException {
		if (this.unwrittenRecords.size() == 0) {
			return;
		}
		if (this.position >= this.segmentBytes) {
			startSegment(this.segments.getLast().number + 1);
		}
		ByteBuffer content = ByteBuffer.wrap(this.unwrittenRecords.toByteArray());
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
		last.maxIndex = Math.max(last.maxIndex, this.unwrittenMaxIndex);
		this.unwrittenRecords.reset();
		this.unwrittenMaxIndex = 0;
	}

	void sync() throws IOException {
		this.disk.sync(this.channel);
	}

	/**
	 * Deletes the oldest segments, except the last one, whose entries are no longer
	 * needed.
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
			throw damaged(file, 0, "the previous segment is missing");
		}
		Segment segment = new Segment(number, file);
		this.segments.add(segment);
		ByteBuffer content = ByteBuffer.wrap(Files.readAllBytes(file));
		int offset = 0;
		this.lastBatch = null;
		while (offset < content.limit()) {
			int size = Batch.sizeAt(content, offset);
			if (size < 0) {
				// The first batch cannot be torn, because it is written before the file
				// is renamed to its final name.
				if (!last || offset == 0 || Batch.existsAfter(content, offset)) {
					throw damaged(file, offset, "a synced batch is invalid");
				}
				truncate(file, offset);
				return;
			}
			for (LogRecord logRecord : Batch.records(content, offset, size)) {
				replay(segment, file, offset, logRecord);
			}
			this.lastBatch = content.slice(offset, size);
			offset += size;
		}
	}

	private void replay(Segment segment, Path file, int offset, LogRecord logRecord) {
		switch (logRecord) {
			case LogRecord.Vote vote -> this.hardState = vote.state();
			case LogRecord.Reset reset -> this.loadedEntries.clear();
			case LogRecord.Entry entry -> {
				long index = entry.entry().index();
				if (!this.loadedEntries.isEmpty() && index > this.loadedEntries.lastKey() + 1) {
					throw damaged(file, offset, "entry " + index + " follows entry " + this.loadedEntries.lastKey());
				}
				this.loadedEntries.tailMap(index, true).clear();
				this.loadedEntries.put(index, entry.entry());
				segment.maxIndex = Math.max(segment.maxIndex, index);
			}
		}
	}

	private void truncate(Path file, long size) throws IOException {
		try (FileChannel segmentChannel = FileChannel.open(file, StandardOpenOption.WRITE)) {
			segmentChannel.truncate(size);
			this.disk.sync(segmentChannel);
		}
	}

	private FescueholdException damaged(Path file, long offset, String reason) {
		return new FescueholdException(ErrorCode.STORAGE_DAMAGED, file, offset,
				reason + "; remove the folder \"" + this.folder + "\" and replace this replica");
	}

	private List<Path> listFiles() throws IOException {
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
