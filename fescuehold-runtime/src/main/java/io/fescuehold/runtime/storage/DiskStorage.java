package io.fescuehold.runtime.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.UUID;

import io.fescuehold.core.agreement.HardState;
import io.fescuehold.core.agreement.LogEntry;
import io.fescuehold.core.agreement.SnapshotMeta;
import io.fescuehold.core.agreement.StoredState;
import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.port.ReplicaStorage;

/**
 * Keeps a replica's log, vote and snapshot in a folder. After a failed sync every further
 * call fails, because the operating system may have dropped the data that was not
 * written.
 */
public final class DiskStorage implements ReplicaStorage {

	static final String TEMPORARY_SUFFIX = ".tmp";

	private static final String STORE_ID_FILE = "store-id";

	private static final String LOCK_FILE = "lock";

	private final StorageOptions options;

	private final Disk disk;

	private final SegmentLog log;

	private final SnapshotFile snapshot;

	private FileChannel lockChannel;

	private String storeId;

	private FescueholdException failure;

	private volatile boolean full;

	/**
	 * Opens a store and creates it if the folder is missing or empty.
	 * @param options the options
	 */
	public DiskStorage(StorageOptions options) {
		this(options, new Disk());
	}

	DiskStorage(StorageOptions options, Disk disk) {
		this.options = options;
		this.disk = disk;
		this.log = new SegmentLog(options.folder(), disk, options.segmentBytes());
		this.snapshot = new SnapshotFile(options.folder(), disk);
		try {
			Files.createDirectories(options.folder());
			lock();
			deleteTemporaryFiles();
			this.storeId = readOrCreateStoreId();
			checkSpace();
		}
		catch (IOException ex) {
			close();
			throw failed(options.folder(), ex);
		}
	}

	@Override
	public String storeId() {
		return this.storeId;
	}

	@Override
	public StoredState load() {
		try {
			this.snapshot.open();
			this.log.open();
			return combine(this.log.takeLoaded());
		}
		catch (IOException ex) {
			throw failed(this.options.folder(), ex);
		}
	}

	@Override
	public byte[] loadSnapshot() {
		try {
			return this.snapshot.readAll();
		}
		catch (IOException ex) {
			throw failed(this.options.folder(), ex);
		}
	}

	@Override
	public void saveVote(HardState state) {
		checkUsable();
		this.log.add(new LogRecord.Vote(state));
	}

	@Override
	public void append(long fromIndex, List<LogEntry> entries) {
		checkUsable();
		if (entries.isEmpty() || entries.getFirst().index() != fromIndex) {
			throw new IllegalArgumentException("Entries must begin at index " + fromIndex);
		}
		entries.forEach((entry) -> this.log.add(new LogRecord.Entry(entry)));
	}

	@Override
	public void sync() {
		checkUsable();
		try {
			this.log.write();
		}
		catch (IOException ex) {
			throw fullOrFailed(ex);
		}
		try {
			this.log.sync();
			checkSpace();
		}
		catch (IOException ex) {
			throw failed(this.log.lastFile(), ex);
		}
	}

	@Override
	public void saveSnapshot(SnapshotMeta meta, byte[] data, long keepFromIndex, boolean keepLog) {
		sync();
		boolean newer = this.snapshot.meta() == null || meta.index() > this.snapshot.meta().index();
		if (newer) {
			try {
				this.snapshot.save(meta, data);
			}
			catch (IOException ex) {
				throw fullOrFailed(ex);
			}
		}
		if (!keepLog) {
			this.log.add(new LogRecord.Reset(meta.index()));
			sync();
		}
		try {
			this.log.deleteBefore(Math.min(keepFromIndex, meta.index() + 1));
			checkSpace();
		}
		catch (IOException ex) {
			throw failed(this.options.folder(), ex);
		}
	}

	@Override
	public SnapshotPart readSnapshot(long index, long offset, int maxBytes) {
		try {
			return this.snapshot.readPart(index, offset, maxBytes);
		}
		catch (IOException ex) {
			throw failed(this.options.folder(), ex);
		}
	}

	@Override
	public boolean isFull() {
		return this.full;
	}

	@Override
	public void close() {
		try {
			this.log.close();
			if (this.lockChannel != null) {
				this.lockChannel.close();
			}
		}
		catch (IOException ex) {
			throw failed(this.options.folder(), ex);
		}
	}

	/**
	 * Joins snapshot and log. A log that does not contain the snapshot's last entry was
	 * to be emptied when the process ended, which is completed here.
	 * @param entries the entries in the log
	 * @return the state
	 */
	private StoredState combine(List<LogEntry> entries) {
		SnapshotMeta meta = this.snapshot.meta();
		long snapshotIndex = (meta != null) ? meta.index() : 0;
		if (entries.isEmpty()) {
			return new StoredState(this.log.hardState(), meta, entries);
		}
		long first = entries.getFirst().index();
		if (first > snapshotIndex + 1) {
			throw new FescueholdException(ErrorCode.STORAGE_DAMAGED, this.log.lastFile(), 0,
					"the entries from " + (snapshotIndex + 1) + " to " + (first - 1)
							+ " are missing; remove the folder \"" + this.options.folder()
							+ "\" and replace this replica");
		}
		if (first == snapshotIndex + 1) {
			return new StoredState(this.log.hardState(), meta, entries);
		}
		boolean contained = entries.getLast().index() >= snapshotIndex
				&& entries.get((int) (snapshotIndex - first)).term() == meta.term();
		if (!contained) {
			this.log.add(new LogRecord.Reset(snapshotIndex));
			sync();
			return new StoredState(this.log.hardState(), meta, List.of());
		}
		return new StoredState(this.log.hardState(), meta, entries);
	}

	private void lock() throws IOException {
		Path file = this.options.folder().resolve(LOCK_FILE);
		this.lockChannel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
		FileLock lock;
		try {
			lock = this.lockChannel.tryLock();
		}
		catch (OverlappingFileLockException ex) {
			lock = null;
		}
		if (lock == null) {
			this.lockChannel.close();
			throw new IOException("another replica uses the folder");
		}
	}

	private void deleteTemporaryFiles() throws IOException {
		try (DirectoryStream<Path> found = Files.newDirectoryStream(this.options.folder(), "*" + TEMPORARY_SUFFIX)) {
			for (Path file : found) {
				Files.deleteIfExists(file);
			}
		}
	}

	private String readOrCreateStoreId() throws IOException {
		Path file = this.options.folder().resolve(STORE_ID_FILE);
		if (Files.exists(file)) {
			return Files.readString(file).strip();
		}
		// The log comes first, so that a store with an id but no log has lost its log and
		// must not return under the same identity.
		this.log.create();
		String created = UUID.randomUUID().toString();
		this.disk.replace(file, ByteBuffer.wrap(created.getBytes(StandardCharsets.UTF_8)));
		return created;
	}

	private void checkSpace() throws IOException {
		this.full = this.disk.usableBytes(this.options.folder()) < this.options.reserveBytes();
	}

	private void checkUsable() {
		if (this.failure != null) {
			throw this.failure;
		}
	}

	private FescueholdException fullOrFailed(IOException cause) {
		String reason = String.valueOf(cause.getMessage());
		if (reason.contains("No space left") || reason.contains("quota exceeded")) {
			this.full = true;
			FescueholdException refused = new FescueholdException(ErrorCode.STORAGE_FULL, this.options.folder());
			refused.initCause(cause);
			return refused;
		}
		return failed(this.options.folder(), cause);
	}

	private FescueholdException failed(Path file, IOException cause) {
		FescueholdException raised = new FescueholdException(ErrorCode.STORAGE_FAILED, file, cause.getMessage());
		raised.initCause(cause);
		this.failure = raised;
		return raised;
	}

}
