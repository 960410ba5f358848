package io.fescuehold.runtime.discovery;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.google.common.flogger.FluentLogger;
import io.fescuehold.core.limits.ServerRequestLimits;
import io.fescuehold.core.membership.HostRecord;
import io.fescuehold.core.port.PeerMessage;
import io.fescuehold.core.port.PeerTransport;
import io.fescuehold.core.quarantine.RequestQuarantine;
import io.fescuehold.core.relay.RingNeighbours;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Spreads evidence among the daemons without the leader. Each daemon sends new evidence
 * to a few neighbours, which pass it on, and repeats it until a neighbour has confirmed
 * it. A neighbour that has started anew receives all evidence. Without new evidence
 * nothing is sent. A daemon that starts asks the daemons that it knows, its seeds first,
 * because there may be no leader to tell the others of its start.
 * <p>
 * All state is confined to the thread of the scheduler.
 */
public final class EvidenceGossip {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** Short compared with the time within which all daemons must know the evidence. */
	private static final long INTERVAL_MS = 100;

	private static final Duration TIMEOUT = Duration.ofMillis(500);

	/** The number of daemons that a daemon asks after its start. */
	private static final int MAX_INITIAL_REQUESTS = 8;

	/** Evidence that no daemon has sent by then is known to none. */
	private static final long INITIAL_REQUESTS_MS = 10_000;

	private final String hostId;

	private final PeerTransport transport;

	private final Scheduler scheduler;

	private final Supplier<List<HostRecord>> hosts;

	private final Supplier<List<String>> seeds;

	private final RequestQuarantine quarantine;

	private final ServerRequestLimits limits;

	private final Map<String, Confirmed> confirmed = new HashMap<>();

	private final Set<String> pending = new HashSet<>();

	/** The daemons that were asked after the start, and are not asked again. */
	private final Set<String> requestedFrom = new HashSet<>();

	private long startedAtMs;

	private Disposable ticker;

	/**
	 * Creates the exchange without starting it.
	 * @param hostId the id of this daemon
	 * @param transport the connections to the other daemons
	 * @param scheduler the thread that owns all state
	 * @param hosts supplies the daemons as far as this one knows
	 * @param seeds supplies the daemons that are asked first after the start
	 * @param quarantine the evidence on crashing prompt parts
	 * @param limits the limits that servers named
	 */
	public EvidenceGossip(String hostId, PeerTransport transport, Scheduler scheduler, Supplier<List<HostRecord>> hosts,
			Supplier<List<String>> seeds, RequestQuarantine quarantine, ServerRequestLimits limits) {
		this.hostId = hostId;
		this.transport = transport;
		this.scheduler = scheduler;
		this.hosts = hosts;
		this.seeds = seeds;
		this.quarantine = quarantine;
		this.limits = limits;
	}

	/**
	 * Starts to send and to receive evidence.
	 */
	public void start() {
		this.transport.onMessage(GossipMessage.Evidence.class, (from,
				evidence) -> Mono.<PeerMessage>fromSupplier(() -> receive(evidence)).subscribeOn(this.scheduler));
		this.transport.onMessage(GossipMessage.Request.class,
				(from, request) -> Mono.<PeerMessage>fromSupplier(() -> evidenceSince(Versions.NONE))
					.subscribeOn(this.scheduler));
		this.startedAtMs = nowMs();
		this.ticker = this.scheduler.schedulePeriodically(this::tick, INTERVAL_MS, INTERVAL_MS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Stops to send evidence.
	 */
	public void stop() {
		if (this.ticker != null) {
			this.ticker.dispose();
		}
	}

	private GossipMessage.Received receive(GossipMessage.Evidence evidence) {
		this.quarantine.merge(evidence.quarantine(), nowMs());
		this.limits.merge(evidence.limits(), nowMs());
		return new GossipMessage.Received();
	}

	private void tick() {
		if (nowMs() - this.startedAtMs < INITIAL_REQUESTS_MS) {
			requestEvidence();
		}
		Versions current = new Versions(this.quarantine.version(), this.limits.version());
		if (current.equals(Versions.NONE)) {
			return;
		}
		Map<String, Long> incarnations = new HashMap<>();
		this.hosts.get().forEach((host) -> incarnations.put(host.hostId(), host.incarnation()));
		this.confirmed.keySet().retainAll(incarnations.keySet());
		for (String neighbour : RingNeighbours.of(incarnations.keySet(), this.hostId)) {
			Confirmed last = this.confirmed.get(neighbour);
			boolean sameStart = last != null && last.incarnation == incarnations.get(neighbour);
			Versions since = sameStart ? last.versions : Versions.NONE;
			if (!since.equals(current) && !this.pending.contains(neighbour)) {
				send(neighbour, incarnations.get(neighbour), since, current);
			}
		}
	}

	private void send(String neighbour, long incarnation, Versions since, Versions current) {
		GossipMessage.Evidence evidence = evidenceSince(since);
		if (evidence.quarantine().isEmpty() && evidence.limits().isEmpty()) {
			this.confirmed.put(neighbour, new Confirmed(incarnation, current));
			return;
		}
		this.pending.add(neighbour);
		request(neighbour, evidence, GossipMessage.Received.class).subscribe((received) -> {
			this.pending.remove(neighbour);
			this.confirmed.put(neighbour, new Confirmed(incarnation, current));
		}, (error) -> retryLater(neighbour, error));
	}

	private GossipMessage.Evidence evidenceSince(Versions since) {
		return new GossipMessage.Evidence(this.quarantine.evidenceSince(since.quarantine, nowMs()),
				this.limits.updatesSince(since.limits, nowMs()));
	}

	private void requestEvidence() {
		Set<String> known = new LinkedHashSet<>(this.seeds.get());
		this.hosts.get().forEach((host) -> known.add(host.hostId()));
		known.remove(this.hostId);
		for (String receiver : known) {
			if (this.requestedFrom.size() < MAX_INITIAL_REQUESTS && this.requestedFrom.add(receiver)) {
				request(receiver, new GossipMessage.Request(), GossipMessage.Evidence.class).subscribe(this::receive,
						(error) -> this.scheduler.schedule(() -> this.requestedFrom.remove(receiver),
								TIMEOUT.toMillis(), TimeUnit.MILLISECONDS));
			}
		}
	}

	private <T extends GossipMessage> Mono<T> request(String receiver, GossipMessage message, Class<T> replyType) {
		return this.transport.request(receiver, message, TIMEOUT)
			.cast(replyType)
			.switchIfEmpty(Mono.error(() -> new IllegalStateException("the reply is empty")))
			.publishOn(this.scheduler);
	}

	private void retryLater(String neighbour, Throwable error) {
		logger.atInfo()
			.atMostEvery(5, TimeUnit.SECONDS)
			.log("Evidence was not delivered to host %s: %s", neighbour, error.getMessage());
		this.scheduler.schedule(() -> this.pending.remove(neighbour), TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
	}

	private long nowMs() {
		return this.scheduler.now(TimeUnit.MILLISECONDS);
	}

	private record Versions(long quarantine, long limits) {

		private static final Versions NONE = new Versions(0, 0);

	}

	private record Confirmed(long incarnation, Versions versions) {

	}

}
