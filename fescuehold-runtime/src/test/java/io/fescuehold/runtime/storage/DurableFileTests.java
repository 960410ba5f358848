package io.fescuehold.runtime.storage;

import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against a list of initial hosts that is cut short by a full disk or a crash: a
 * host that reads only itself in it forms a second group.
 */
class DurableFileTests {

	private static final List<String> HOSTS = List.of("10.1.0.1", "10.2.0.1", "10.3.0.1");

	private final FaultyDisk disk = new FaultyDisk();

	@Test
	void listThatDoesNotFitLeavesNoPartOfIt(@TempDir Path folder) {
		DurableFile file = new DurableFile(folder.resolve("data").resolve("initial-hosts"), this.disk);
		this.disk.bytesBeforeFull = "10.1.0.1\n".length();
		assertThatExceptionOfType(UncheckedIOException.class).isThrownBy(() -> file.replace(HOSTS));
		assertThat(file.exists()).isFalse();
		this.disk.bytesBeforeFull = Integer.MAX_VALUE;
		file.replace(HOSTS);
		assertThat(file.read()).isEqualTo(HOSTS);
	}

	@Test
	void failedSyncKeepsTheOldList(@TempDir Path folder) {
		DurableFile file = new DurableFile(folder.resolve("initial-hosts"), this.disk);
		file.replace(HOSTS);
		this.disk.syncFails = true;
		assertThatExceptionOfType(UncheckedIOException.class).isThrownBy(() -> file.replace(List.of("10.1.0.1")));
		assertThat(file.read()).isEqualTo(HOSTS);
	}

}
