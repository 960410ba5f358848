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
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import io.fescuehold.core.agreement.HardState;
import io.fescuehold.core.agreement.LogEntry;
import io.fescuehold.core.agreement.SnapshotMeta;
import io.fescuehold.core.agreement.StoredState;
import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.port.ReplicaStorage;

/**
 * Stores a replica's log, vote and snapshot in a folder. After a failed sync every
 * further write fails, because the operating system may have discarded the data that
 * could not be written. A store that is opened again makes everything that it reads
 * durable first.
 */
public final class DiskStorage implements ReplicaStorage {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final int LOG_INTERVAL_S = 5;

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
	 * @param folder the folder
	 */
	public DiskStorage(Path folder) {
		this(folder, new Disk());
	}

	DiskStorage(Path folder, Disk disk) {
		this(StorageOptions.of(folder, diskBytes(folder, disk)), disk);
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
			updateFull();
			logger.atInfo()
				.log("Store in \"%s\": segments of %d bytes, reserve of %d bytes, %d bytes free", options.folder(),
						options.segmentBytes(), options.reserveBytes(), disk.usableBytes(options.folder()));
		}
		catch (IOException ex) {
			close();
			throw recordFailure(options.folder(), ex);
		}
	}

	/**
	 * Returns whether a folder holds a store.
	 * @param folder the folder
	 * @return whether opening it does not create a store
	 */
	public static boolean exists(Path folder) {
		return Files.exists(folder.resolve(STORE_ID_FILE));
	}

	@Override
	public String storeId() {
		return this.storeId;
	}

	@Override
	public StoredState load() {
		try {
			// A rename whose sync failed must be durable before older files are deleted.
			this.disk.syncFolder(this.options.folder());
			this.snapshot.open();
			this.log.open();
			return combineSnapshotAndLog(this.log.takeLoadedEntries());
		}
		catch (IOException ex) {
			throw recordFailure(this.options.folder(), ex);
		}
	}

	@Override
	public byte[] loadSnapshot() {
		try {
			return this.snapshot.readAll();
		}
		catch (IOException ex) {
			throw recordFailure(this.options.folder(), ex);
		}
	}

	@Override
	public void saveVote(HardState state) {
		checkNotFailed();
		this.log.add(new LogRecord.Vote(state));
	}

	@Override
	public void append(long fromIndex, List<LogEntry> entries) {
		checkNotFailed();
		if (entries.isEmpty() || entries.getFirst().index() != fromIndex) {
			throw new IllegalArgumentException("Entries must begin at index " + fromIndex);
		}
		entries.forEach((entry) -> this.log.add(new LogRecord.Entry(entry)));
	}

	@Override
	public void sync() {
		checkNotFailed();
		try {
			this.log.write();
		}
		catch (IOException ex) {
			throw recordWriteFailure(ex);
		}
		try {
			this.log.sync();
			updateFull();
		}
		catch (IOException ex) {
			throw recordFailure(this.log.lastFile(), ex);
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
				throw recordWriteFailure(ex);
			}
		}
		if (!keepLog) {
			this.log.add(new LogRecord.Reset(meta.index()));
			sync();
		}
		try {
			this.log.deleteBefore(Math.min(keepFromIndex, meta.index() + 1));
			updateFull();
		}
		catch (IOException ex) {
			throw recordFailure(this.options.folder(), ex);
		}
	}

	@Override
	public SnapshotPart readSnapshot(long index, long offset, int maxBytes) {
		try {
			return this.snapshot.readPart(index, offset, maxBytes);
		}
		catch (IOException ex) {
			throw recordFailure(this.options.folder(), ex);
		}
	}

	@Override
	public boolean isFull() {
		return this.full;
	}

	@Override
	public void checkSpace() {
		try {
			updateFull();
		}
		catch (IOException ex) {
			logger.atWarning()
				.atMostEvery(LOG_INTERVAL_S, TimeUnit.SECONDS)
				.withCause(ex)
				.log("The free space of \"%s\" cannot be read; the disk still counts as %s", this.options.folder(),
						this.full ? "full" : "not full");
		}
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
			throw recordFailure(this.options.folder(), ex);
		}
	}

	/**
	 * Combines the snapshot and the log. If the log does not contain the snapshot's last
	 * entry, the process ended after it had saved a received snapshot and before it had
	 * emptied the log; this method then empties the log.
	 * @param entries the entries in the log
	 * @return the state
	 */
	private StoredState combineSnapshotAndLog(List<LogEntry> entries) {
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
		boolean containsSnapshot = entries.getLast().index() >= snapshotIndex
				&& entries.get((int) (snapshotIndex - first)).term() == meta.term();
		if (!containsSnapshot) {
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
		// The log is created before the id. A store with an id but without a log has
		// therefore lost its log, and must not rejoin the group with the same id.
		this.log.create();
		String created = UUID.randomUUID().toString();
		this.disk.replace(file, ByteBuffer.wrap(created.getBytes(StandardCharsets.UTF_8)));
		return created;
	}

	private static long diskBytes(Path folder, Disk disk) {
		try {
			Files.createDirectories(folder);
			return disk.totalBytes(folder);
		}
		catch (IOException ex) {
			FescueholdException error = new FescueholdException(ErrorCode.STORAGE_FAILED, folder, ex.getMessage());
			error.initCause(ex);
			throw error;
		}
	}

	private void updateFull() throws IOException {
		this.full = this.disk.usableBytes(this.options.folder()) < this.options.reserveBytes();
	}

	private void checkNotFailed() {
		if (this.failure != null) {
			throw this.failure;
		}
	}

	private FescueholdException recordWriteFailure(IOException cause) {
		String reason = String.valueOf(cause.getMessage());
		if (reason.contains("No space left") || reason.contains("quota exceeded")) {
			this.full = true;
			FescueholdException error = new FescueholdException(ErrorCode.STORAGE_FULL, this.options.folder());
			error.initCause(cause);
			return error;
		}
		return recordFailure(this.options.folder(), cause);
	}

	private FescueholdException recordFailure(Path file, IOException cause) {
		FescueholdException error = new FescueholdException(ErrorCode.STORAGE_FAILED, file, cause.getMessage());
		error.initCause(cause);
		this.failure = error;
		return error;
	}

}
