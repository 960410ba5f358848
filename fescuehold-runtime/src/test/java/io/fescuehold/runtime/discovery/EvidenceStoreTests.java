package io.fescuehold.runtime.discovery;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.fescuehold.core.quarantine.RequestFeatures;
import io.fescuehold.core.quarantine.RequestIdentity;
import io.fescuehold.core.quarantine.RequestQuarantine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import reactor.test.scheduler.VirtualTimeScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a request that crashes another three servers after all hosts have lost
 * power at once (BUDGET).
 */
class EvidenceStoreTests {

	private static final RequestFeatures GUILTY = new RequestFeatures(null,
			new RequestIdentity("POST", "/x", "caller", "guilty".getBytes(StandardCharsets.UTF_8)));

	private static final long TIME_OF_DAY_MS = 1_700_000_000_000L;

	private final VirtualTimeScheduler scheduler = VirtualTimeScheduler.create();

	@TempDir
	private Path folder;

	@AfterEach
	void stop() {
		this.scheduler.dispose();
	}

	private long nowMs() {
		return this.scheduler.now(TimeUnit.MILLISECONDS);
	}

	private RequestQuarantine start(String hostId) {
		RequestQuarantine quarantine = new RequestQuarantine(hostId);
		new EvidenceStore(this.folder.resolve("quarantine"), quarantine, this.scheduler, () -> TIME_OF_DAY_MS + nowMs())
			.start();
		return quarantine;
	}

	private void crashThreeServers(RequestQuarantine quarantine) {
		for (int server = 1; server <= 3; server++) {
			quarantine.recordCrash("service", "i-" + server, List.of(GUILTY.ids()), nowMs());
			this.scheduler.advanceTimeBy(Duration.ofSeconds(3));
		}
	}

	private void awaitStored(int lines) throws Exception {
		Path file = this.folder.resolve("quarantine").resolve("crashes.jsonl");
		long untilNs = System.nanoTime() + Duration.ofSeconds(10).toNanos();
		while (!Files.exists(file) || Files.readAllLines(file).size() != lines) {
			assertThat(System.nanoTime()).isLessThan(untilNs);
			this.scheduler.advanceTimeBy(Duration.ofMillis(250));
			Thread.sleep(5);
		}
	}

	@Test
	void quarantineOutlastsTheProcess() throws Exception {
		RequestQuarantine before = start("h1");
		crashThreeServers(before);
		awaitStored(1);
		RequestQuarantine after = start("h1");
		assertThat(after.find("service", GUILTY)).isNotNull();
		assertThat(after.attributions().getFirst().heldUntilMs() - nowMs()).isBetween(30_000L, 65_000L);
		assertThat(after.evidenceSince(0, nowMs()).crashes()).hasSize(3);
	}

	@Test
	void answeredRequestIsNotQuarantinedAgain() throws Exception {
		RequestQuarantine before = start("h1");
		crashThreeServers(before);
		awaitStored(1);
		before.recordAnswer("service", GUILTY, nowMs() + 10_000);
		awaitStored(0);
		assertThat(start("h1").find("service", GUILTY)).isNull();
	}

	@Test
	void damagedLinesAreSkipped() throws Exception {
		crashThreeServers(start("h1"));
		awaitStored(1);
		Path file = this.folder.resolve("quarantine").resolve("crashes.jsonl");
		write(file, "{\"service\":1e999\n{}\nnull\n" + "[".repeat(5_000) + "\n" + Files.readString(file)
				+ "{\"service\":\"s\",\"features\":[null],\"crashes\":[null]}\n");
		assertThat(start("h1").find("service", GUILTY)).isNotNull();
	}

	private static void write(Path file, String text) throws IOException {
		Files.writeString(file, text, StandardOpenOption.TRUNCATE_EXISTING);
	}

}
