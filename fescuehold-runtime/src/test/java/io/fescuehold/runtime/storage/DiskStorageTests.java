package io.fescuehold.runtime.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import io.fescuehold.core.agreement.EntryKind;
import io.fescuehold.core.agreement.HardState;
import io.fescuehold.core.agreement.LogEntry;
import io.fescuehold.core.agreement.Membership;
import io.fescuehold.core.agreement.MembershipCodec;
import io.fescuehold.core.agreement.ReplicaId;
import io.fescuehold.core.agreement.SnapshotMeta;
import io.fescuehold.core.agreement.StoredState;
import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import org.assertj.core.api.ThrowableAssert.ThrowingCallable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Guards against the loss of synced data and against undetected corruption.
 */
class DiskStorageTests {

	private static final HardState VOTE = new HardState(3, new ReplicaId("a", "s"));

	private static final byte[] SNAPSHOT = "state".getBytes(StandardCharsets.UTF_8);

	private final FaultyDisk disk = new FaultyDisk();

	private long segmentBytes = 1 << 20;

	@TempDir
	private Path folder;

	@Test
	void syncedDataIsReadAfterReopening() {
		String storeId = write((storage) -> {
			storage.saveVote(VOTE);
			storage.append(1, entries(1, 5, 1));
			storage.sync();
			storage.append(4, entries(4, 6, 2));
			storage.sync();
		});
		StoredState state = read();
		assertThat(state.hardState()).isEqualTo(VOTE);
		assertThat(state.entries()).extracting(LogEntry::index).containsExactly(1L, 2L, 3L, 4L, 5L, 6L);
		assertThat(state.entries()).extracting(LogEntry::term).containsExactly(1L, 1L, 1L, 2L, 2L, 2L);
		assertThat(state.entries().getLast().data()).isEqualTo(entries(6, 6, 2).getFirst().data());
		assertThat(write((storage) -> {
		})).isEqualTo(storeId);
	}

	@Test
	void tornWriteIsRemovedAtEveryLength() throws IOException {
		write((storage) -> {
			storage.append(1, entries(1, 2, 1));
			storage.sync();
		});
		Path file = segments().getLast();
		int synced = (int) Files.size(file);
		write((storage) -> {
			storage.append(3, entries(3, 4, 1));
			storage.sync();
		});
		byte[] original = Files.readAllBytes(file);
		for (int size = synced; size < original.length; size++) {
			Files.write(file, Arrays.copyOf(original, size));
			assertThat(read().entries()).as("truncated at byte " + size).hasSize(2);
			assertThat(Files.size(file)).isEqualTo(synced);
		}
		write((storage) -> {
			storage.append(3, entries(3, 3, 5));
			storage.sync();
		});
		assertThat(read().entries().getLast().term()).isEqualTo(5);
	}

	@Test
	void corruptionBeforeTheLastBatchIsRefusedAtEveryByte() throws IOException {
		write((storage) -> {
			storage.append(1, entries(1, 1, 1));
			storage.sync();
			storage.append(2, entries(2, 2, 1));
			storage.sync();
		});
		Path file = segments().getLast();
		byte[] original = Files.readAllBytes(file);
		int lastBatch = original.length;
		do {
			lastBatch--;
		}
		while (Batch.sizeAt(ByteBuffer.wrap(original), lastBatch) < 0);
		for (int at = 0; at < lastBatch; at++) {
			byte[] corrupt = original.clone();
			corrupt[at] ^= 0x40;
			Files.write(file, corrupt);
			assertCode(this::read, ErrorCode.STORAGE_DAMAGED);
			assertThat(Files.readAllBytes(file)).as("refused files are not modified").isEqualTo(corrupt);
		}
	}

	@Test
	void missingSegmentIsRefused() throws IOException {
		this.segmentBytes = 100;
		write((storage) -> {
			for (int i = 1; i <= 20; i++) {
				storage.append(i, entries(i, i, 1));
				storage.sync();
			}
		});
		assertThat(segments()).hasSizeGreaterThan(4);
		Files.delete(segments().get(2));
		assertCode(this::read, ErrorCode.STORAGE_DAMAGED);
		while (segments().size() > 1) {
			Files.delete(segments().getFirst());
		}
		assertCode(this::read, ErrorCode.STORAGE_DAMAGED);
		Files.delete(segments().getFirst());
		assertCode(this::read, ErrorCode.STORAGE_DAMAGED);
	}

	@Test
	void snapshotCompactsSegmentsAndKeepsVote() throws IOException {
		this.segmentBytes = 100;
		write((storage) -> {
			storage.saveVote(VOTE);
			for (int i = 1; i <= 30; i++) {
				storage.append(i, entries(i, i, 1));
				storage.sync();
			}
			storage.saveSnapshot(snapshot(25, 1), SNAPSHOT, 21, true);
			assertThat(storage.readSnapshot(25, 1, 3).data()).isEqualTo("tat".getBytes(StandardCharsets.UTF_8));
			assertThat(storage.readSnapshot(24, 0, 3)).isNull();
		});
		assertThat(segments()).hasSizeLessThan(10);
		StoredState state = read();
		assertThat(state.hardState()).isEqualTo(VOTE);
		assertThat(state.snapshot().index()).isEqualTo(25);
		assertThat(state.entries().getFirst().index()).isLessThanOrEqualTo(21);
		assertThat(state.entries().getLast().index()).isEqualTo(30);
		write((storage) -> assertThat(storage.loadSnapshot()).isEqualTo(SNAPSHOT));
	}

	@Test
	void receivedSnapshotEmptiesTheLogAlsoAfterACrash() {
		write((storage) -> {
			storage.append(1, entries(1, 10, 1));
			storage.sync();
			// Simulates a crash before the log is emptied.
			storage.saveSnapshot(snapshot(8, 2), SNAPSHOT, 9, true);
		});
		assertThat(read().entries()).isEmpty();
		write((storage) -> {
			storage.append(9, entries(9, 9, 2));
			storage.sync();
		});
		assertThat(read().entries()).extracting(LogEntry::index).containsExactly(9L);
		write((storage) -> storage.saveSnapshot(snapshot(20, 3), SNAPSHOT, 21, false));
		assertThat(read().entries()).isEmpty();
	}

	@Test
	void corruptSnapshotIsRefused() throws IOException {
		write((storage) -> {
			storage.append(1, entries(1, 3, 1));
			storage.saveSnapshot(snapshot(3, 1), SNAPSHOT, 4, true);
		});
		Path file = files("snapshot-").getFirst();
		byte[] content = Files.readAllBytes(file);
		content[content.length - 1] ^= 1;
		Files.write(file, content);
		assertCode(this::read, ErrorCode.STORAGE_DAMAGED);
	}

	@Test
	void failedSyncIsFinal() {
		try (DiskStorage storage = open()) {
			storage.load();
			storage.append(1, entries(1, 1, 1));
			this.disk.syncFails = true;
			assertCode(storage::sync, ErrorCode.STORAGE_FAILED);
			this.disk.syncFails = false;
			assertCode(storage::sync, ErrorCode.STORAGE_FAILED);
			assertCode(() -> storage.append(2, entries(2, 2, 1)), ErrorCode.STORAGE_FAILED);
		}
	}

	/**
	 * Guards against relying on a batch that can be read after its sync failed, but that
	 * a power loss removes.
	 */
	@Test
	void batchWhoseSyncFailedIsDurableOnceTheStoreIsOpenAgain() {
		try (DiskStorage storage = open()) {
			storage.load();
			storage.append(1, entries(1, 2, 1));
			storage.sync();
			storage.append(3, entries(3, 3, 1));
			this.disk.syncFails = true;
			assertCode(storage::sync, ErrorCode.STORAGE_FAILED);
		}
		assertCode(this::read, ErrorCode.STORAGE_FAILED);
		this.disk.syncFails = false;
		assertThat(read().entries()).hasSize(3);
		assertThat(this.disk.unsafeWrite).isNull();
	}

	@Test
	void fullDiskLosesNothingAndRecovers() {
		try (DiskStorage storage = open()) {
			storage.load();
			storage.append(1, entries(1, 1, 1));
			storage.sync();
			storage.append(2, entries(2, 2, 1));
			this.disk.bytesBeforeFull = 7;
			assertCode(storage::sync, ErrorCode.STORAGE_FULL);
			assertThat(storage.isFull()).isTrue();
			assertCode(() -> storage.saveSnapshot(snapshot(1, 1), SNAPSHOT, 2, true), ErrorCode.STORAGE_FULL);
			this.disk.bytesBeforeFull = Integer.MAX_VALUE;
			storage.sync();
			assertThat(storage.isFull()).isFalse();
		}
		assertThat(read().entries()).hasSize(2);
	}

	@Test
	void freeSpaceBelowTheReserveIsReportedAsFull() {
		this.disk.usableBytes = StorageOptions.DEFAULT_RESERVE_BYTES - 1;
		write((storage) -> assertThat(storage.isFull()).isTrue());
	}

	@Test
	void folderIsUsedByOneReplicaOnly() {
		try (DiskStorage first = open()) {
			assertThat(first.storeId()).isNotBlank();
			assertThatThrownBy(this::open).hasMessageContaining("another replica uses the folder");
		}
	}

	private DiskStorage open() {
		return new DiskStorage(new StorageOptions(this.folder, this.segmentBytes, StorageOptions.DEFAULT_RESERVE_BYTES),
				this.disk);
	}

	private String write(Consumer<DiskStorage> actions) {
		try (DiskStorage storage = open()) {
			storage.load();
			actions.accept(storage);
			return storage.storeId();
		}
	}

	private StoredState read() {
		try (DiskStorage storage = open()) {
			return storage.load();
		}
	}

	private List<Path> segments() throws IOException {
		return files("log-");
	}

	private List<Path> files(String prefix) throws IOException {
		try (Stream<Path> found = Files.list(this.folder)) {
			return new ArrayList<>(
					found.filter((file) -> file.getFileName().toString().startsWith(prefix)).sorted().toList());
		}
	}

	private static List<LogEntry> entries(long first, long last, long term) {
		return LongStream.rangeClosed(first, last)
			.mapToObj((index) -> new LogEntry(index, term, EntryKind.COMMAND,
					("entry " + index).getBytes(StandardCharsets.UTF_8)))
			.toList();
	}

	private static SnapshotMeta snapshot(long index, long term) {
		return new SnapshotMeta(index, term, MembershipCodec.encode(Membership.EMPTY));
	}

	private static void assertCode(ThrowingCallable action, ErrorCode code) {
		assertThatThrownBy(action).isInstanceOfSatisfying(FescueholdException.class,
				(ex) -> assertThat(ex.code()).isEqualTo(code));
	}

}
