package io.fescuehold.runtime.discovery;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import com.google.common.flogger.FluentLogger;
import io.fescuehold.core.membership.HostRecord;
import io.fescuehold.core.membership.HostState;
import io.fescuehold.core.port.PeerMessage;
import io.fescuehold.core.port.PeerTransport;
import io.fescuehold.core.port.ServerReach;
import io.fescuehold.core.reach.LinkFailures;
import io.fescuehold.core.servers.BackendServer;
import io.fescuehold.core.servers.ServerState;
import io.fescuehold.core.servers.ServerTable;
import io.fescuehold.runtime.backend.ConnectProbe;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.core.scheduler.Scheduler;
import reactor.netty.resources.LoopResources;

/**
 * Compares the servers that this host reaches with those that other hosts reach. After
 * links to two servers of a service have failed it opens connections to a sample of the
 * service; if most of them fail and other hosts reach servers among these, this host is
 * cut off and the others pass its requests on. It is checked again twice a second until
 * most connections succeed.
 * <p>
 * All state is confined to the thread of the scheduler.
 */
public final class ReachDirectory implements ServerReach {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** The number of servers that a check connects to. */
	private static final int SAMPLE_SERVERS = 6;

	/** The number of hosts that are asked, and that requests are spread over. */
	private static final int ASKED_HOSTS = 8;

	private static final int ASKED_HOSTS_FOR_ONE_SERVER = 3;

	private static final int CONNECT_TIMEOUT_MS = 400;

	/**
	 * The longest time in which another host connects to servers on behalf of this one.
	 */
	private static final int CONNECT_FOR_OTHERS_TIMEOUT_MS = 250;

	private static final int MAX_CONNECTS_FOR_OTHERS = 3;

	private static final Duration ASK_TIMEOUT = Duration.ofMillis(400);

	/** A server that responded within this time counts as reached. */
	private static final long REACHED_MS = 1_000;

	/** The time for which the result of a connection to a silent server is used. */
	private static final Duration PROBE_VALID = Duration.ofMillis(400);

	private static final long CHECK_INTERVAL_MS = 500;

	/** The random part of the interval, so that hosts do not return all at once. */
	private static final long CHECK_JITTER_MS = 250;

	private final String hostId;

	private final PeerTransport transport;

	private final Scheduler scheduler;

	private final LoopResources loops;

	private final Supplier<List<HostRecord>> hosts;

	private final ServerTable servers;

	private final IntSupplier requestsInFlight;

	private final RandomGenerator random;

	private final LinkFailures failures = new LinkFailures();

	private final Map<String, Long> respondedAtMs = new HashMap<>();

	/** The connections that were opened lately to silent servers. */
	private final Map<String, Mono<Boolean>> probes = new HashMap<>();

	/** The services whose servers are being checked. */
	private final Map<String, Sinks.Empty<Void>> checks = new HashMap<>();

	private final Map<String, Long> nextCheckAtMs = new HashMap<>();

	/** For each service from which this host is cut off, the hosts that reach it. */
	private final Map<String, Map<String, Integer>> relaysByService = new HashMap<>();

	/**
	 * Creates a directory without starting it.
	 * @param hostId the id of this host
	 * @param transport the connections to the other hosts
	 * @param scheduler the thread that owns all state
	 * @param loops the event loops of connections to servers
	 * @param hosts supplies the hosts as far as this one knows
	 * @param servers the servers
	 * @param requestsInFlight supplies the number of requests in flight at this host
	 * @param random the source of random choices
	 */
	public ReachDirectory(String hostId, PeerTransport transport, Scheduler scheduler, LoopResources loops,
			Supplier<List<HostRecord>> hosts, ServerTable servers, IntSupplier requestsInFlight,
			RandomGenerator random) {
		this.hostId = hostId;
		this.transport = transport;
		this.scheduler = scheduler;
		this.loops = loops;
		this.hosts = hosts;
		this.servers = servers;
		this.requestsInFlight = requestsInFlight;
		this.random = random;
	}

	/**
	 * Starts to answer the other hosts.
	 */
	public void start() {
		this.transport.onMessage(ReachMessage.Ask.class,
				(from, ask) -> Mono.defer(() -> answer(ask)).cast(PeerMessage.class).subscribeOn(this.scheduler));
	}

	private Mono<ReachMessage.Reached> answer(ReachMessage.Ask ask) {
		long nowMs = nowMs();
		Set<String> reached = new LinkedHashSet<>();
		Set<String> failed = this.failures.recent(ask.service(), nowMs);
		List<BackendServer> unknown = new ArrayList<>();
		for (String serverId : ask.serverIds()) {
			ServerState server = this.servers.find(serverId);
			if (!failed.contains(serverId)
					&& nowMs - this.respondedAtMs.getOrDefault(serverId, Long.MIN_VALUE / 2) < ask.maxAgeMs()) {
				reached.add(serverId);
			}
			else if (server != null && unknown.size() < MAX_CONNECTS_FOR_OTHERS) {
				unknown.add(server.server());
			}
		}
		return Flux.fromIterable(reached.isEmpty() ? unknown : List.of())
			.flatMap((server) -> accepts(server, CONNECT_FOR_OTHERS_TIMEOUT_MS))
			.map(reached::add)
			.then(Mono.fromSupplier(() -> new ReachMessage.Reached(reached, !isCutOff(ask.service()),
					this.requestsInFlight.getAsInt())));
	}

	private Mono<String> accepts(BackendServer server, int timeoutMs) {
		return ConnectProbe.probe(server, this.loops, timeoutMs)
			.publishOn(this.scheduler)
			.filter((result) -> result == ConnectProbe.Result.ACCEPTED)
			.map((result) -> server.id());
	}

	@Override
	public void linkFailed(BackendServer server) {
		long nowMs = nowMs();
		String service = server.service();
		this.failures.record(service, server.id(), nowMs);
		if (this.failures.isSuspicious(service, this.servers.of(service).size(), nowMs)
				&& nowMs >= this.nextCheckAtMs.getOrDefault(service, Long.MIN_VALUE)
				&& !this.relaysByService.containsKey(service)) {
			check(service);
		}
	}

	@Override
	public void responded(BackendServer server) {
		this.respondedAtMs.put(server.id(), nowMs());
		if (this.respondedAtMs.size() > 2 * this.servers.all().size() + SAMPLE_SERVERS) {
			this.respondedAtMs.keySet().removeIf((serverId) -> this.servers.find(serverId) == null);
		}
	}

	@Override
	public Mono<Boolean> acceptsConnections(BackendServer server) {
		this.probes.keySet().removeIf((serverId) -> this.servers.find(serverId) == null);
		return this.probes.computeIfAbsent(server.id(),
				(id) -> accepts(server, CONNECT_TIMEOUT_MS).hasElement().cache(PROBE_VALID, this.scheduler));
	}

	private void check(String service) {
		if (this.checks.containsKey(service)) {
			return;
		}
		Sinks.Empty<Void> done = Sinks.empty();
		this.checks.put(service, done);
		List<BackendServer> sample = sample(service);
		int majority = sample.size() / 2 + 1;
		Flux.fromIterable(sample)
			.flatMap((server) -> accepts(server, CONNECT_TIMEOUT_MS))
			.take(majority)
			.collectList()
			.flatMap((accepting) -> (accepting.size() >= majority) ? Mono.just(Map.<String, Integer>of())
					: findRelays(service, sample, accepting))
			.publishOn(this.scheduler)
			.doFinally((signal) -> {
				this.checks.remove(service);
				this.nextCheckAtMs.put(service, nowMs() + CHECK_INTERVAL_MS);
				done.tryEmitEmpty();
			})
			.subscribe((relays) -> onChecked(service, relays),
					(error) -> logger.atWarning()
						.withCause(error)
						.log("The links to the servers of %s could not be checked", service));
	}

	// Servers to which a link has failed come first, because the others are known to be
	// reached or are unknown.
	private List<BackendServer> sample(String service) {
		Set<String> failed = this.failures.recent(service, nowMs());
		List<BackendServer> known = new ArrayList<>(this.servers.of(service)
			.stream()
			.map(ServerState::server)
			.filter((server) -> !server.leaving())
			.toList());
		Collections.shuffle(known, Random.from(this.random));
		List<BackendServer> sample = new ArrayList<>(
				known.stream().filter((server) -> failed.contains(server.id())).limit(SAMPLE_SERVERS / 2).toList());
		known.removeAll(sample);
		sample.addAll(known.stream().limit(SAMPLE_SERVERS - sample.size()).toList());
		return sample;
	}

	private Mono<Map<String, Integer>> findRelays(String service, List<BackendServer> sample, List<String> accepting) {
		List<String> failed = sample.stream()
			.map(BackendServer::id)
			.filter((serverId) -> !accepting.contains(serverId))
			.toList();
		// The servers may have ended just now, so that earlier responses show nothing.
		long maxAgeMs = isCutOff(service) ? REACHED_MS : 0;
		return ask(service, failed, ASKED_HOSTS, maxAgeMs)
			.filter((answer) -> answer.reached.passesOn() && !answer.reached.serverIds().isEmpty())
			.collect(LinkedHashMap::new,
					(relays, answer) -> relays.put(answer.hostId, answer.reached.requestsInFlight()));
	}

	private Flux<Answer> ask(String service, List<String> serverIds, int maxHosts, long maxAgeMs) {
		List<String> others = new ArrayList<>(this.hosts.get()
			.stream()
			.filter((host) -> host.state() == HostState.READY && !host.hostId().equals(this.hostId))
			.map(HostRecord::hostId)
			.toList());
		Collections.shuffle(others, Random.from(this.random));
		ReachMessage.Ask question = new ReachMessage.Ask(service, serverIds, maxAgeMs);
		return Flux.fromIterable(others.subList(0, Math.min(maxHosts, others.size())))
			.flatMap((host) -> this.transport.request(host, question, ASK_TIMEOUT)
				.cast(ReachMessage.Reached.class)
				.publishOn(this.scheduler)
				.map((reached) -> new Answer(host, reached))
				.onErrorResume((error) -> Mono.empty()));
	}

	private void onChecked(String service, Map<String, Integer> relays) {
		boolean wasCutOff = isCutOff(service);
		if (relays.isEmpty()) {
			this.relaysByService.remove(service);
		}
		else {
			this.relaysByService.put(service, new HashMap<>(relays));
			this.scheduler.schedule(() -> check(service), CHECK_INTERVAL_MS + this.random.nextLong(CHECK_JITTER_MS),
					TimeUnit.MILLISECONDS);
		}
		if (wasCutOff != isCutOff(service)) {
			logger.atWarning()
				.log(relays.isEmpty() ? "This host reaches the servers of %s again, or no other host does; hosts %s"
						: "This host is cut off from the servers of %s; hosts %s reach them and pass requests on",
						service, relays.keySet());
		}
		if (!wasCutOff && isCutOff(service)) {
			checkOtherServices();
		}
	}

	// A cut mostly concerns the servers of all services.
	private void checkOtherServices() {
		this.servers.all()
			.stream()
			.map((server) -> server.server().service())
			.distinct()
			.filter((service) -> !this.relaysByService.containsKey(service))
			.toList()
			.forEach(this::check);
	}

	@Override
	public boolean isCutOff(String service) {
		return !this.relaysByService.getOrDefault(service, Map.of()).isEmpty();
	}

	@Override
	public Mono<Void> whenChecked(String service) {
		return Mono.defer(() -> this.checks.containsKey(service) ? this.checks.get(service).asMono() : Mono.empty());
	}

	// The less loaded one of two random hosts, so that hosts with the same view do not
	// all choose the same one.
	@Override
	public String chooseRelay(String service, Set<String> excluded) {
		Map<String, Integer> relays = this.relaysByService.getOrDefault(service, Map.of());
		List<String> candidates = relays.keySet().stream().filter((host) -> !excluded.contains(host)).toList();
		if (candidates.isEmpty()) {
			return null;
		}
		String first = candidates.get(this.random.nextInt(candidates.size()));
		String second = candidates.get(this.random.nextInt(candidates.size()));
		String chosen = (relays.get(first) <= relays.get(second)) ? first : second;
		relays.merge(chosen, 1, Integer::sum);
		return chosen;
	}

	@Override
	public boolean isRelay(String service, String relayId) {
		return this.relaysByService.getOrDefault(service, Map.of()).containsKey(relayId);
	}

	@Override
	public void relayFailed(String relayId) {
		this.relaysByService.values().forEach((relays) -> relays.remove(relayId));
	}

	@Override
	public Mono<Boolean> isReachedByOthers(BackendServer server) {
		return Mono.defer(() -> isCutOff(server.service()) ? Mono.just(true)
				: ask(server.service(), List.of(server.id()), ASKED_HOSTS_FOR_ONE_SERVER, 0)
					.any((answer) -> !answer.reached.serverIds().isEmpty()));
	}

	private long nowMs() {
		return this.scheduler.now(TimeUnit.MILLISECONDS);
	}

	private record Answer(String hostId, ReachMessage.Reached reached) {

	}

}
