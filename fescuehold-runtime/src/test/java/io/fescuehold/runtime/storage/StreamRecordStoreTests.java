package io.fescuehold.runtime.storage;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

import io.fescuehold.core.streamversion.StreamRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests of {@link StreamRecordStore}.
 */
class StreamRecordStoreTests {

	private static final StreamRecord FIRST = new StreamRecord("a", "s", "v1");

	private static final StreamRecord SECOND = new StreamRecord("b", "s", "v2");

	private static final Duration WAIT = Duration.ofSeconds(2);

	@TempDir
	private Path folder;

	@Test
	void contentSurvivesARestartAndATornWrite() throws IOException {
		try (StreamRecordStore store = new StreamRecordStore(this.folder, 10_000)) {
			assertThat(store.open().existed()).isFalse();
			store.append(List.of(FIRST), Map.of("s", Set.of("v1", "v2"))).block();
			store.append(List.of(SECOND), Map.of()).block();
		}
		truncateLast(1);
		try (StreamRecordStore store = new StreamRecordStore(this.folder, 10_000)) {
			StreamRecordStore.Content content = store.open();
			assertThat(content.existed()).isTrue();
			assertThat(content.records()).containsExactly(FIRST);
			assertThat(content.served()).isEqualTo(Map.of("s", Set.of("v1", "v2")));
		}
	}

	@Test
	void rotationKeepsTheLastFileAndDeletesTheOnesBefore() throws IOException {
		try (StreamRecordStore store = new StreamRecordStore(this.folder, 10_000)) {
			store.open();
			store.append(List.of(FIRST), Map.of()).block();
			store.rotate(Map.of("s", Set.of("v2"))).block();
			store.append(List.of(SECOND), Map.of()).block();
			store.rotate(Map.of("s", Set.of("v3"))).block();
		}
		try (StreamRecordStore store = new StreamRecordStore(this.folder, 10_000)) {
			StreamRecordStore.Content content = store.open();
			assertThat(content.records()).containsExactly(SECOND);
			assertThat(content.served()).isEqualTo(Map.of("s", Set.of("v2", "v3")));
		}
	}

	@Test
	void recordsBeyondTheLimitAreNotConfirmed() throws IOException {
		try (StreamRecordStore store = new StreamRecordStore(this.folder, 40)) {
			store.open();
			store.append(List.of(FIRST), Map.of()).block();
			assertThatThrownBy(() -> store.append(List.of(SECOND), Map.of()).block()).hasMessageContaining("40");
		}
	}

	// A disk that was full while a process started or began a new file kept records from
	// being durable for as long as the process ran, and hid those of the last process.
	@Test
	void recordsAreDurableOnceAFullDiskHasRoom() throws IOException {
		LimitedDisk disk = new LimitedDisk(this.folder, 1 << 20);
		try (StreamRecordStore store = new StreamRecordStore(this.folder, 10_000, disk)) {
			store.open();
			store.append(List.of(FIRST), Map.of()).block(WAIT);
			disk.setFull(true, true);
			assertThatThrownBy(() -> store.rotate(Map.of()).block(WAIT)).isNotNull();
			disk.setFull(false, false);
			store.append(List.of(SECOND), Map.of()).block(WAIT);
			disk.setFull(true, true);
		}
		try (StreamRecordStore store = new StreamRecordStore(this.folder, 10_000, disk)) {
			assertThat(store.open().records()).containsExactly(FIRST, SECOND);
			assertThatThrownBy(() -> store.append(List.of(FIRST), Map.of()).block(WAIT)).isNotNull()
				.hasMessageNotContaining("Timeout");
			disk.setFull(false, false);
			store.append(List.of(FIRST), Map.of()).block(WAIT);
		}
	}

	private void truncateLast(int bytes) throws IOException {
		try (Stream<Path> files = Files.list(this.folder);
				FileChannel channel = FileChannel.open(files.findFirst().orElseThrow(), StandardOpenOption.WRITE)) {
			channel.truncate(channel.size() - bytes);
		}
	}

}
