package io.fescuehold.runtime.discovery;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import com.google.common.flogger.FluentLogger;
import io.fescuehold.core.membership.HostRecord;
import io.fescuehold.core.placement.RendezvousHash;
import io.fescuehold.core.port.PeerMessage;
import io.fescuehold.core.port.PeerTransport;
import io.fescuehold.core.port.StreamVersions;
import io.fescuehold.core.servers.ServerState;
import io.fescuehold.core.streamversion.ServedVersions;
import io.fescuehold.core.streamversion.StreamRecord;
import io.fescuehold.core.streamversion.StreamRecords;
import io.fescuehold.core.streamversion.VersionSearch;
import io.fescuehold.core.streamversion.VersionVerdict;
import io.fescuehold.runtime.storage.StreamRecordStore;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.core.scheduler.Scheduler;
import reactor.util.retry.Retry;

/**
 * Directory of the software versions that began streams. While a single version of a
 * service serves nothing is exchanged, because the version follows from the list of
 * servers. While several serve, each stream is recorded at a few hosts with a disk, its
 * holders, which its id determines, before its first event is sent. Streams that began
 * before are recorded as soon as a second version shows.
 * <p>
 * All state is confined to the thread of the scheduler.
 */
public final class StreamDirectory implements StreamVersions {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** The number of hosts that keep the record of a stream. */
	private static final int HOLDERS = 3;

	private static final int MAX_RECORDS = 65_536;

	private static final int MAX_RECORDS_PER_MESSAGE = 512;

	private static final int MAX_QUEUED_RECORDS = 8_192;

	private static final long MAX_FILE_BYTES = 4L << 20;

	private static final long TICK_MS = 100;

	private static final Duration KEEP_TIMEOUT = Duration.ofMillis(500);

	/** The longest time that a take-up waits for other hosts. */
	private static final Duration FIND_TIMEOUT = Duration.ofMillis(300);

	private static final Duration ANNOUNCE_INTERVAL = Duration.ofMillis(100);

	private final String hostId;

	private final PeerTransport transport;

	private final Scheduler scheduler;

	private final Supplier<List<HostRecord>> hosts;

	private final Supplier<List<String>> seeds;

	private final LongSupplier confirmedAgeMs;

	private final LongSupplier retentionMs;

	private final ServedVersions served;

	private final StreamRecordStore store;

	private final Waits waits;

	/** The records that this host keeps for all hosts, itself included. */
	private final StreamRecords records;

	/** The streams of this host that their holders have not been told yet. */
	private final Map<String, StreamRecord> unannounced = new HashMap<>();

	/** The hosts that have been told of each version. */
	private final Map<VersionOfService, Set<String>> knowingHosts = new HashMap<>();

	private final Map<String, Outbox> outboxes = new HashMap<>();

	private Map<String, Set<String>> storedVersions = Map.of();

	private long rotatedAtMs;

	private Disposable ticker;

	/**
	 * Creates a directory without starting it.
	 * @param hostId the id of this host
	 * @param transport the connections to the other hosts
	 * @param scheduler the thread that owns all state
	 * @param hosts supplies the hosts as far as this one knows
	 * @param seeds supplies the hosts that are asked as well, because this one may not
	 * know the others yet
	 * @param confirmedAgeMs supplies the time in milliseconds since this host asked for
	 * the list of servers that it last got
	 * @param retentionMs supplies the time in milliseconds for which a stream can be
	 * continued
	 * @param served the versions that this host has observed
	 * @param folder the folder for records, or null if the host has no disk
	 * @param waits the longest waits
	 */
	public StreamDirectory(String hostId, PeerTransport transport, Scheduler scheduler,
			Supplier<List<HostRecord>> hosts, Supplier<List<String>> seeds, LongSupplier confirmedAgeMs,
			LongSupplier retentionMs, ServedVersions served, Path folder, Waits waits) {
		this.waits = waits;
		this.hostId = hostId;
		this.transport = transport;
		this.scheduler = scheduler;
		this.hosts = hosts;
		this.seeds = seeds;
		this.confirmedAgeMs = confirmedAgeMs;
		this.retentionMs = retentionMs;
		this.served = served;
		this.records = new StreamRecords(MAX_RECORDS, retentionMs.getAsLong());
		this.store = (folder != null) ? new StreamRecordStore(folder, MAX_FILE_BYTES) : null;
	}

	/**
	 * Reads the records of the last process and starts to answer the other hosts.
	 * @param firstStart whether the whole fleet starts for the first time, so that no
	 * stream can have begun before
	 */
	public void start(boolean firstStart) {
		long nowMs = nowMs();
		this.rotatedAtMs = nowMs;
		boolean restored = restore(nowMs);
		if (firstStart || restored) {
			this.served.markComplete();
		}
		onMessage(StreamMessage.Keep.class, this::keep);
		onMessage(StreamMessage.Find.class, (find) -> Mono.fromSupplier(() -> localAnswer(find)));
		this.ticker = this.scheduler.schedulePeriodically(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
	}

	private <T extends StreamMessage> void onMessage(Class<T> type, Function<T, Mono<? extends PeerMessage>> handler) {
		this.transport.onMessage(type,
				(from, message) -> Mono.<PeerMessage>defer(() -> handler.apply(message).cast(PeerMessage.class))
					.subscribeOn(this.scheduler));
	}

	private boolean restore(long nowMs) {
		if (this.store == null) {
			return false;
		}
		try {
			StreamRecordStore.Content content = this.store.open();
			content.records().forEach((record) -> this.records.put(record, nowMs));
			content.served().forEach((service, versions) -> this.served.addReported(service, versions, nowMs));
			logger.atInfo()
				.log("Read %d stream records and versions %s of the last process", content.records().size(),
						content.served());
			return content.existed();
		}
		catch (IOException ex) {
			logger.atWarning().log("The stream records of the last process cannot be read: %s", ex.getMessage());
			return false;
		}
	}

	/**
	 * Stops to send messages and closes the files.
	 */
	public void stop() {
		if (this.ticker != null) {
			this.ticker.dispose();
		}
		try {
			if (this.store != null) {
				this.store.close();
			}
		}
		catch (IOException ex) {
			logger.atWarning().log("The file of stream records cannot be closed: %s", ex.getMessage());
		}
	}

	@Override
	public Mono<Void> record(StreamRecord began) {
		return Mono.defer(() -> {
			long nowMs = nowMs();
			this.records.put(began, nowMs);
			if (!this.served.isAmbiguous(began.service(), nowMs)) {
				this.unannounced.put(began.streamId(), began);
				return Mono.empty();
			}
			return announce(began).timeout(this.waits.record(), this.scheduler)
				.onErrorResume((error) -> announceUntilListed(began))
				.onErrorResume((error) -> {
					logger.atInfo()
						.atMostEvery(1, TimeUnit.SECONDS)
						.log("Stream %s of version %s begins before its holders have confirmed its record: %s",
								began.streamId(), began.version(), error.getMessage());
					return Mono.empty();
				});
		});
	}

	// Without a record and without knowledge of a version that has just been listed, the
	// other hosts would take the stream for one of the version before.
	private Mono<Void> announceUntilListed(StreamRecord began) {
		Mono<Void> unconfirmed = Mono.error(() -> new TimeoutException(
				"no majority of " + holders(began.streamId(), HOLDERS) + " has confirmed the record in time"));
		long listedInMs = ServerState.LIST_DELAY_MS - this.served.listedMs(began.service(), began.version(), nowMs());
		if (listedInMs <= 0 || isKnownToMajority(began)) {
			return unconfirmed;
		}
		return Mono.defer(() -> announce(began))
			.retryWhen(Retry.fixedDelay(Long.MAX_VALUE, ANNOUNCE_INTERVAL).scheduler(this.scheduler))
			.timeout(Duration.ofMillis(listedInMs), unconfirmed, this.scheduler);
	}

	private boolean isKnownToMajority(StreamRecord began) {
		List<String> holders = holders(began.streamId(), HOLDERS);
		Set<String> knowing = this.knowingHosts.getOrDefault(VersionOfService.of(began), Set.of());
		return holders.stream().filter(knowing::contains).count() > holders.size() / 2;
	}

	// A majority must know the record, so that a search which reaches a majority finds
	// it, and one of them must have it on disk, if any host has one, for the case that
	// all hosts lose power.
	private Mono<Void> announce(StreamRecord began) {
		List<String> holders = holders(began.streamId(), HOLDERS);
		int majority = holders.size() / 2 + 1;
		boolean disks = this.hosts.get().stream().anyMatch(HostRecord::hasStore);
		List<Mono<Boolean>> confirmations = new ArrayList<>();
		holders.forEach((holder) -> confirmations.add(sendTo(holder, began)));
		return Flux.merge(confirmations)
			.scan(new Confirmations(0, false), Confirmations::add)
			.filter((confirmed) -> confirmed.count >= majority && (confirmed.durable || !disks))
			.next()
			.switchIfEmpty(Mono.error(() -> new IOException("holders " + holders + " have not confirmed the record")))
			.then();
	}

	private Mono<Boolean> sendTo(String holder, StreamRecord began) {
		if (holder.equals(this.hostId)) {
			recordKnowing(holder, this.served.observed(nowMs()));
			return keep(new StreamMessage.Keep(List.of(began), Map.of())).map(StreamMessage.Kept::durable);
		}
		Outbox outbox = this.outboxes.computeIfAbsent(holder, (id) -> new Outbox());
		if (outbox.queued.size() >= MAX_QUEUED_RECORDS) {
			return Mono.empty();
		}
		outbox.queued.add(began);
		Mono<Boolean> confirmed = outbox.nextReply.asMono();
		flush(holder, outbox);
		return confirmed.onErrorResume((error) -> Mono.empty());
	}

	// Records that come while a message is pending go together in the next one.
	private void flush(String holder, Outbox outbox) {
		if (outbox.pending || outbox.queued.isEmpty()) {
			return;
		}
		int count = Math.min(MAX_RECORDS_PER_MESSAGE, outbox.queued.size());
		List<StreamRecord> batch = List.copyOf(outbox.queued.subList(0, count));
		outbox.queued.subList(0, count).clear();
		Sinks.One<Boolean> replySink = outbox.nextReply;
		outbox.nextReply = Sinks.one();
		outbox.pending = true;
		Map<String, Set<String>> observed = this.served.observed(nowMs());
		this.transport.request(holder, new StreamMessage.Keep(batch, observed), KEEP_TIMEOUT)
			.cast(StreamMessage.Kept.class)
			.publishOn(this.scheduler)
			.doFinally((signal) -> {
				outbox.pending = false;
				flush(holder, outbox);
			})
			.subscribe((kept) -> {
				onKept(kept);
				recordKnowing(holder, observed);
				replySink.tryEmitValue(kept.durable());
			}, replySink::tryEmitError, replySink::tryEmitEmpty);
	}

	private Mono<StreamMessage.Kept> keep(StreamMessage.Keep keep) {
		long nowMs = nowMs();
		keep.records().forEach((record) -> this.records.put(record, nowMs));
		keep.served().forEach((service, versions) -> this.served.addReported(service, versions, nowMs));
		boolean complete = this.served.isComplete(nowMs);
		Map<String, Set<String>> known = complete ? this.served.all(nowMs) : Map.of();
		if (this.store == null) {
			return Mono.just(new StreamMessage.Kept(false, known, complete));
		}
		return this.store.append(keep.records(), Map.of())
			.thenReturn(true)
			.timeout(this.waits.disk(), this.scheduler)
			.onErrorReturn(false)
			.publishOn(this.scheduler)
			.map((durable) -> new StreamMessage.Kept(durable, known, complete));
	}

	private void recordKnowing(String holder, Map<String, Set<String>> versionsByService) {
		versionsByService.forEach((service,
				versions) -> versions.forEach((version) -> this.knowingHosts
					.computeIfAbsent(new VersionOfService(service, version), (key) -> new HashSet<>())
					.add(holder)));
	}

	private void onKept(StreamMessage.Kept kept) {
		long nowMs = nowMs();
		if (kept.complete() && !this.served.isComplete(nowMs)) {
			kept.served().forEach((service, versions) -> this.served.addReported(service, versions, nowMs));
			this.served.markComplete();
		}
	}

	@Override
	public Mono<VersionVerdict> find(String streamId, String service) {
		return Mono.defer(() -> {
			long nowMs = nowMs();
			StreamRecord own = (streamId != null) ? this.records.find(streamId, nowMs) : null;
			if (own != null) {
				return Mono.just(new VersionVerdict.Recorded(own));
			}
			StreamMessage.Find question = new StreamMessage.Find((streamId != null) ? streamId : "", service);
			Set<String> asked = hostsToAsk(question.streamId());
			VersionSearch search = new VersionSearch(asked.size(), this.served.of(service, nowMs),
					this.served.isComplete(nowMs));
			if (asked.remove(this.hostId)) {
				search.add(null, Set.of(), false);
			}
			return Flux.fromIterable(asked)
				.flatMap((host) -> ask(host, question))
				.map((found) -> search.add(found.record(), found.served(), found.complete()).verdict(false))
				.filter((verdict) -> !(verdict instanceof VersionVerdict.Open))
				.next()
				.switchIfEmpty(Mono.fromSupplier(() -> lastVerdict(search, service, nowMs)));
		});
	}

	private VersionVerdict lastVerdict(VersionSearch search, String service, long beganAtMs) {
		long nowMs = nowMs();
		if (nowMs - this.confirmedAgeMs.getAsLong() >= beganAtMs) {
			search.confirmList(this.served.of(service, nowMs));
		}
		return search.verdict(true);
	}

	private Mono<StreamMessage.Found> ask(String host, StreamMessage.Find question) {
		return this.transport.request(host, question, FIND_TIMEOUT)
			.cast(StreamMessage.Found.class)
			.publishOn(this.scheduler)
			.onErrorResume((error) -> Mono.empty());
	}

	private StreamMessage.Found localAnswer(StreamMessage.Find find) {
		long nowMs = nowMs();
		return new StreamMessage.Found(this.records.find(find.streamId(), nowMs), this.served.of(find.service(), nowMs),
				this.served.isComplete(nowMs));
	}

	// A host that has just started knows only its seeds, and one whose list of hosts is
	// late may miss a holder.
	private Set<String> hostsToAsk(String streamId) {
		Set<String> asked = new LinkedHashSet<>(holders(streamId, HOLDERS));
		if (asked.size() < HOLDERS) {
			asked.addAll(this.seeds.get());
		}
		return asked;
	}

	private List<String> holders(String streamId, int count) {
		List<HostRecord> known = this.hosts.get();
		List<HostRecord> withStore = known.stream().filter(HostRecord::hasStore).toList();
		long hash = RendezvousHash.hash(streamId);
		return (withStore.isEmpty() ? known : withStore).stream()
			.map(HostRecord::hostId)
			.sorted(Comparator.comparingDouble((id) -> RendezvousHash.score(hash, RendezvousHash.hash(id), 1)))
			.limit(count)
			.toList();
	}

	private void tick() {
		long nowMs = nowMs();
		long retained = this.retentionMs.getAsLong();
		this.records.setRetention(retained);
		this.served.setRetention(retained);
		this.served.expire(nowMs);
		Map<String, Set<String>> observed = this.served.observed(nowMs);
		this.knowingHosts.keySet().removeIf((known) -> !known.isIn(observed));
		announceEarlierStreams(nowMs);
		storeVersions(nowMs, retained);
		this.outboxes.values().removeIf((outbox) -> !outbox.pending && outbox.queued.isEmpty());
	}

	private void announceEarlierStreams(long nowMs) {
		this.unannounced.keySet().removeIf((streamId) -> this.records.find(streamId, nowMs) == null);
		List<StreamRecord> due = this.unannounced.values()
			.stream()
			.filter((record) -> this.served.isAmbiguous(record.service(), nowMs))
			.toList();
		due.forEach((record) -> {
			this.unannounced.remove(record.streamId());
			announce(record).subscribe();
		});
	}

	private void storeVersions(long nowMs, long retained) {
		if (this.store == null) {
			return;
		}
		Map<String, Set<String>> current = this.served.all(nowMs);
		if (nowMs - this.rotatedAtMs >= retained) {
			this.rotatedAtMs = nowMs;
			this.storedVersions = current;
			this.store.rotate(current).publishOn(this.scheduler).subscribe((done) -> {
			}, (error) -> this.storedVersions = Map.of());
		}
		else if (!current.equals(this.storedVersions)) {
			this.storedVersions = current;
			this.store.append(List.of(), current).publishOn(this.scheduler).subscribe((done) -> {
			}, (error) -> this.storedVersions = Map.of());
		}
	}

	private long nowMs() {
		return this.scheduler.now(TimeUnit.MILLISECONDS);
	}

	/**
	 * The longest waits for records.
	 *
	 * @param record the time for which a first event waits for its record
	 * @param disk the time for which a holder waits for its disk before it answers
	 */
	public record Waits(Duration record, Duration disk) {

		/** Waits that delay a first event by less than the time that callers notice. */
		public static final Waits DEFAULT = new Waits(Duration.ofMillis(80), Duration.ofMillis(40));

	}

	private record VersionOfService(String service, String version) {

		private static VersionOfService of(StreamRecord record) {
			return new VersionOfService(record.service(), record.version());
		}

		private boolean isIn(Map<String, Set<String>> versionsByService) {
			return versionsByService.getOrDefault(this.service, Set.of()).contains(this.version);
		}

	}

	private record Confirmations(int count, boolean durable) {

		private Confirmations add(boolean anotherDurable) {
			return new Confirmations(this.count + 1, this.durable || anotherDurable);
		}

	}

	/** The records for one holder. */
	private static final class Outbox {

		private final List<StreamRecord> queued = new ArrayList<>();

		private Sinks.One<Boolean> nextReply = Sinks.one();

		private boolean pending;

	}

}
