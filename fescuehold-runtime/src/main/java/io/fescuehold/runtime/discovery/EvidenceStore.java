package io.fescuehold.runtime.discovery;

import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.google.common.flogger.FluentLogger;
import io.fescuehold.core.quarantine.Attribution;
import io.fescuehold.core.quarantine.RequestQuarantine;
import io.fescuehold.runtime.storage.DurableFile;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/**
 * Keeps what is in quarantine on the disk of a host, so that it outlasts a loss of power
 * of all hosts. Times are stored as times of day, because the clocks of a process start
 * anew.
 * <p>
 * All state is confined to the thread of the scheduler; the disk is accessed on others.
 */
public final class EvidenceStore {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final String FILE = "crashes.jsonl";

	private static final long CHECK_INTERVAL_MS = 250;

	/** The time between a failed write and the next one. */
	private static final long RETRY_MS = 5_000;

	private static final JsonMapper MAPPER = JsonMapper.builder()
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.build();

	private final DurableFile file;

	private final RequestQuarantine quarantine;

	private final Scheduler scheduler;

	private final LongSupplier timeOfDayMs;

	private List<Attribution> stored = List.of();

	private boolean writing;

	private long retryAtMs = Long.MIN_VALUE;

	/**
	 * Creates a store without reading it.
	 * @param folder the folder of the file, which is created if it is missing
	 * @param quarantine the quarantine to keep
	 * @param scheduler the thread that owns the quarantine
	 * @param timeOfDayMs the time of day in milliseconds
	 */
	public EvidenceStore(Path folder, RequestQuarantine quarantine, Scheduler scheduler, LongSupplier timeOfDayMs) {
		this.file = new DurableFile(folder.resolve(FILE));
		this.quarantine = quarantine;
		this.scheduler = scheduler;
		this.timeOfDayMs = timeOfDayMs;
	}

	/**
	 * Reads what the last process has stored, and writes each change from now on. Lines
	 * that cannot be understood are skipped.
	 */
	public void start() {
		readLines().forEach(this::restore);
		this.stored = this.quarantine.attributions();
		this.scheduler.schedulePeriodically(this::writeIfChanged, CHECK_INTERVAL_MS, CHECK_INTERVAL_MS,
				TimeUnit.MILLISECONDS);
	}

	private List<String> readLines() {
		try {
			return this.file.exists() ? this.file.read() : List.of();
		}
		catch (UncheckedIOException ex) {
			logger.atWarning().log("The stored quarantine could not be read: %s", ex.getMessage());
			return List.of();
		}
	}

	private void restore(String line) {
		try {
			StoredAttribution attribution = MAPPER.readValue(line, StoredAttribution.class);
			if (attribution == null) {
				return;
			}
			for (StoredCrash crash : attribution.crashes) {
				long ageMs = Math.max(0, this.timeOfDayMs.getAsLong() - crash.crashedAtMs);
				this.quarantine.restoreCrash(attribution.service, crash.serverId, attribution.features, ageMs, nowMs());
			}
		}
		catch (JsonProcessingException ex) {
			logger.atWarning()
				.atMostEvery(5, TimeUnit.SECONDS)
				.log("Skipped a line of the stored quarantine: %s", ex.getOriginalMessage());
		}
	}

	private void writeIfChanged() {
		List<Attribution> current = this.quarantine.attributions();
		if (this.writing || nowMs() < this.retryAtMs || current.equals(this.stored)) {
			return;
		}
		this.writing = true;
		List<String> lines = new ArrayList<>();
		current.forEach((attribution) -> lines.add(encode(attribution)));
		Mono.fromRunnable(() -> this.file.replace(lines))
			.subscribeOn(Schedulers.boundedElastic())
			.publishOn(this.scheduler)
			.doFinally((signal) -> this.writing = false)
			.subscribe((done) -> {
			}, this::onFailure, () -> this.stored = current);
	}

	private void onFailure(Throwable error) {
		this.retryAtMs = nowMs() + RETRY_MS;
		logger.atWarning().log("The quarantine is kept in memory only: %s", error.getMessage());
	}

	private String encode(Attribution attribution) {
		long clockOffsetMs = this.timeOfDayMs.getAsLong() - nowMs();
		List<StoredCrash> crashes = new ArrayList<>();
		for (int index = 0; index < attribution.serverIds().size(); index++) {
			crashes.add(new StoredCrash(attribution.serverIds().get(index),
					attribution.crashedAtMs().get(index) + clockOffsetMs));
		}
		try {
			return MAPPER
				.writeValueAsString(new StoredAttribution(attribution.service(), attribution.features(), crashes));
		}
		catch (JsonProcessingException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private long nowMs() {
		return this.scheduler.now(TimeUnit.MILLISECONDS);
	}

	/**
	 * A line of the file.
	 *
	 * @param service the service whose servers crashed
	 * @param features the ids of the features to which the crashes are attributed
	 * @param crashes the crashes
	 */
	record StoredAttribution(String service, Set<String> features, List<StoredCrash> crashes) {

		StoredAttribution {
			Objects.requireNonNull(service, "service");
			features = Set.copyOf(features);
			crashes = List.copyOf(crashes);
		}

	}

	/**
	 * A crash of a server.
	 *
	 * @param serverId the instance id of the server
	 * @param crashedAtMs the time of day of the crash in milliseconds
	 */
	record StoredCrash(String serverId, long crashedAtMs) {

		StoredCrash {
			Objects.requireNonNull(serverId, "serverId");
		}

	}

}
