package io.fescuehold.runtime.gateway;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.placement.RendezvousHash;
import io.fescuehold.core.port.ServerReach;
import io.fescuehold.core.retry.HedgePolicy;
import io.fescuehold.core.retry.RetryShare;
import io.fescuehold.core.retry.WindowedRetryBudget;
import io.fescuehold.core.servers.BackendServer;
import io.fescuehold.core.servers.ServerOutcome;
import io.fescuehold.core.servers.ServerState;
import io.fescuehold.runtime.backend.BackendPool;
import io.fescuehold.runtime.backend.BackendPools;
import io.fescuehold.runtime.backend.BackendRequest;
import reactor.netty.http.client.HttpClient;

/**
 * Chooses servers, prepares requests to them and records their load, their health and the
 * retries. Not thread-safe: confined to one thread.
 */
final class Dispatcher {

	/** A server with this rate has failed two requests in a short time. */
	private static final double FAILING_RATE = 0.2;

	private final GatewayBelief belief;

	private final CallerProtocol protocol;

	private final BackendPools pools;

	private final ServerCandidates candidates;

	private final ColdLimits coldLimits;

	private final LongSupplier clockMs;

	private final WindowedRetryBudget budget;

	private final RetryShare retryShare;

	private final RequestPlacement placement;

	private final Hedging hedging;

	private final QuarantineGuard quarantineGuard;

	private final ServerReach reach;

	private final RelayTargets relays;

	private final GatewayMetrics metrics;

	private final GatewayLog log;

	private final AdmissionLine admission;

	Dispatcher(GatewayOptions options, GatewayBelief belief, CallerProtocol protocol, BackendPools pools,
			LongSupplier clockMs, QuarantineGuard quarantineGuard, ServerReach reach, GatewayMetrics metrics,
			GatewayLog log, AdmissionLine admission, RandomGenerator random) {
		this.belief = belief;
		this.admission = admission;
		this.protocol = protocol;
		this.pools = pools;
		this.clockMs = clockMs;
		this.budget = new WindowedRetryBudget(options.retryRatio(), options.retryExtra(), options.retryWindowMs());
		this.retryShare = new RetryShare(options.retryWindowMs(), options.firstStart(), nowMs());
		this.coldLimits = new ColdLimits(belief, options.policy(), metrics);
		this.candidates = new ServerCandidates(belief, options.leavingUseMs(), metrics, this.coldLimits);
		this.placement = new RequestPlacement(options.failureDomain(), belief, random);
		this.quarantineGuard = quarantineGuard;
		this.hedging = new Hedging(new HedgePolicy(options.policy().hedgeRatio()), belief, this.candidates,
				this.coldLimits, quarantineGuard, metrics, log);
		this.reach = reach;
		this.relays = new RelayTargets(reach, options.relayPort(), metrics, log);
		this.metrics = metrics;
		this.log = log;
	}

	QuarantineGuard quarantineGuard() {
		return this.quarantineGuard;
	}

	Hedging hedging() {
		return this.hedging;
	}

	long nowMs() {
		return this.clockMs.getAsLong();
	}

	/**
	 * Returns the hosts that pass requests on.
	 * @return the hosts
	 */
	RelayTargets relays() {
		return this.relays;
	}

	/**
	 * Chooses the server of an attempt and records the choice.
	 * @param request the request
	 * @param attempt the number of the attempt, from 1
	 * @param tried the servers that were tried before
	 * @param binding the servers that may send events of the stream
	 * @return the target; errors with code NO_SERVER, with code STREAM_VERSION_GONE if no
	 * server of the bound version is left, or with code OVERLOADED if all servers limit
	 * their requests or rest
	 */
	Target choose(GatewayRequest request, int attempt, Set<String> tried, VersionBinding binding) {
		long nowMs = nowMs();
		List<ServerState> all = this.belief.servers().of(request.service());
		List<ServerState> untried = this.candidates.of(request.service(), tried, binding, nowMs);
		List<ServerState> withinLimits = this.candidates.withinLimits(request.service(), untried, nowMs);
		if (withinLimits.isEmpty()) {
			throw this.candidates.refusal(request.service(), untried, binding, nowMs);
		}
		Target target = select(request, this.coldLimits.preferred(request, withinLimits, untried, nowMs), all, nowMs);
		consume(target.server());
		if (attempt == 1) {
			retryBudget().recordRequest(request.service(), nowMs);
			this.hedging.recordRequest(request.service());
		}
		this.metrics.placed(target.reason());
		if (target.work() != null) {
			this.metrics.promptPlaced(request.service(), target.work().unreadTokens(), target.copyFrom() != null);
		}
		this.log.placed(request, target, attempt, () -> this.placement.describe(target, nowMs));
		return target;
	}

	/**
	 * Counts a request that is sent to a server towards the server's limits.
	 * @param server the server
	 */
	void consume(ServerState server) {
		this.belief.requestLimits().consume(server.server().id());
		this.coldLimits.placed(server, nowMs());
	}

	private Target select(GatewayRequest request, List<ServerState> servers, List<ServerState> all, long nowMs) {
		if (this.quarantineGuard.isSuspected(request)) {
			return new Target(isolated(request, servers, nowMs), null, Target.SUSPECTED, false);
		}
		boolean engine = request.head().prompt() != null;
		return this.placement.select(request, servers, engine ? this.candidates.copySources(all, nowMs) : List.of(),
				nowMs);
	}

	// All hosts send a suspected request to the same server, and different ones mostly to
	// different servers, but not to one that fails requests itself.
	private ServerState isolated(GatewayRequest request, List<ServerState> servers, long nowMs) {
		long requestHash = RendezvousHash.hash(request.features().identity().id());
		Comparator<ServerState> byPreference = Comparator
			.comparing((ServerState server) -> server.health().failureRate(nowMs) > FAILING_RATE)
			.thenComparing((server) -> this.quarantineGuard.hasSuspect(server.server().id()))
			.thenComparingLong(
					(server) -> RendezvousHash.combine(requestHash, RendezvousHash.hash(server.server().id())));
		return servers.stream().min(byPreference).orElseThrow();
	}

	/**
	 * Creates the refusal of a request whose servers all rest.
	 * @param request the request
	 * @param binding the servers that may send events of the stream
	 * @return the refusal with the time at which the first server takes requests again,
	 * or null if some server does not rest
	 */
	FescueholdException restRefusal(GatewayRequest request, VersionBinding binding) {
		return this.candidates.restRefusal(request.service(), binding, nowMs());
	}

	/**
	 * Returns the line of the requests that wait for room.
	 * @return the line
	 */
	AdmissionLine admission() {
		return this.admission;
	}

	/**
	 * Counts a request that is about to be sent, unless its target no longer takes it. It
	 * may have waited for a connection since the target was chosen.
	 * @param target the server, or a host that passes the request on
	 * @return null if it may be sent, else the reason why not
	 */
	String trySend(Target target) {
		long nowMs = nowMs();
		if (target.relay()) {
			return null;
		}
		if (!this.candidates.maySend(target.server(), nowMs)) {
			return "it rests, leaves or is evacuated since the request was placed";
		}
		return this.coldLimits.trySend(target.server(), nowMs) ? null
				: "it is cold and gets no more requests of this host now";
	}

	/**
	 * Returns whether another server is available for a request.
	 * @param request the request
	 * @param tried the servers that were tried
	 * @param binding the servers that may send events of the stream
	 * @return whether an untried server is left that is not paused
	 */
	boolean hasAlternative(GatewayRequest request, Set<String> tried, VersionBinding binding) {
		long nowMs = nowMs();
		return this.relays.isNeeded(request, binding) || alternatives(request, tried, binding, nowMs).stream()
			.anyMatch((server) -> server.health().isUsable(nowMs));
	}

	/**
	 * Returns whether a request can be sent to another server, if only to one that is
	 * paused.
	 * @param request the request
	 * @param tried the servers that were tried
	 * @param binding the servers that may send events of the stream
	 * @return whether an untried server is left
	 */
	boolean hasCandidate(GatewayRequest request, Set<String> tried, VersionBinding binding) {
		return this.relays.isNeeded(request, binding) || !alternatives(request, tried, binding, nowMs()).isEmpty();
	}

	private List<ServerState> alternatives(GatewayRequest request, Set<String> tried, VersionBinding binding,
			long nowMs) {
		return this.candidates.withinLimits(request.service(),
				this.candidates.of(request.service(), tried, binding, nowMs), nowMs);
	}

	/**
	 * Returns which servers may continue a stream that a server has begun.
	 * @param request the request
	 * @param target the server
	 * @return the binding
	 */
	VersionBinding bindingTo(GatewayRequest request, Target target) {
		long nowMs = nowMs();
		String version = target.server().server().versionName();
		boolean known = target.server().isVersionCertain(nowMs)
				&& (!version.isEmpty() || !this.belief.servedVersions().isAmbiguous(request.service(), nowMs));
		return known ? new VersionBinding.ToVersion(version) : new VersionBinding.ToUnknown();
	}

	/**
	 * Records that a server refused a connection. Its process has ended, unless only this
	 * host cannot reach it.
	 * @param target the server
	 */
	void recordRefusedConnection(Target target) {
		ServerState server = target.server();
		if (server.isVersionCertain(nowMs())) {
			this.reach.isReachedByOthers(server.server()).filter((reached) -> !reached).subscribe((gone) -> {
				server.connectionRefused();
				this.belief.coldServers().processEnded(server.server().id(), nowMs());
				this.belief.intake().forget(server.server().id());
			});
		}
	}

	/**
	 * Records that a server responded.
	 * @param target the server
	 */
	void recordResponse(Target target) {
		if (!target.relay()) {
			target.server().responded(nowMs());
			this.belief.coldServers().responded(target.server().server().id(), nowMs());
			this.reach.responded(target.server().server());
		}
	}

	/**
	 * Acquires a retry from the retry budget.
	 * @param request the request
	 * @param attempt the number of attempts so far
	 * @return whether the request may be retried
	 */
	boolean tryAcquireRetry(GatewayRequest request, int attempt) {
		if (attempt >= request.route().maxAttempts()) {
			return false;
		}
		boolean allowed = retryBudget().tryRetry(request.service(), nowMs());
		if (allowed) {
			this.metrics.retried(request.service());
		}
		else {
			this.metrics.retryDenied(request.service());
		}
		return allowed;
	}

	private WindowedRetryBudget retryBudget() {
		this.budget.setShare(this.retryShare.fraction(this.belief.hosts(), this.belief.ageMs(), nowMs()), nowMs());
		return this.budget;
	}

	/**
	 * Prepares the request to a server.
	 * @param request the request
	 * @param target the server
	 * @param resumeAfter the position after which a stream continues, or a negative
	 * number to leave it to the caller's headers
	 * @param onSent called when the first byte is about to be sent
	 * @return the request
	 */
	BackendRequest prepare(GatewayRequest request, Target target, long resumeAfter,
			BackendRequest.SendListener onSent) {
		if (target.relay()) {
			throw new IllegalArgumentException("Target " + target + " is a host; use prepareRelay");
		}
		String team = (request.team() != null) ? request.team().name() : null;
		boolean engine = request.head().prompt() != null;
		Forwarding forwarding = new Forwarding(target.server().server().id(), request.leftMs(nowMs()), team,
				engine ? request.urgency() : null,
				(target.copyFrom() != null) ? target.copyFrom().server().address() : null, resumeAfter);
		return new BackendRequest(request.head().method(), request.head().uri(),
				this.protocol.forward(request.head(), forwarding), request.body(), onSent);
	}

	/**
	 * Prepares the request to a host that passes it on.
	 * @param request the request
	 * @param hop what that host is told
	 * @param resumeAfter the position after which a stream continues, or a negative
	 * number to leave it to the caller's headers
	 * @param onSent called when the first byte is about to be sent
	 * @return the request
	 */
	BackendRequest prepareRelay(GatewayRequest request, RelayHop hop, long resumeAfter,
			BackendRequest.SendListener onSent) {
		Map<String, String> headers = this.protocol.relay(request.head(), request.leftMs(nowMs()), resumeAfter);
		hop.write(headers);
		return new BackendRequest(request.head().method(), request.head().uri(), headers, request.body(), onSent);
	}

	Supplier<HttpClient> client(Target target) {
		return () -> this.pools.pool(target.server().server().ip(), target.server().server().port()).pooled();
	}

	void attemptStarted(Target target) {
		target.server().begin();
		this.placement.started(target);
	}

	void attemptEnded(Target target) {
		target.server().end();
		this.placement.ended(target);
	}

	/**
	 * Returns what places requests and learns from their times.
	 * @return the placement
	 */
	RequestPlacement placement() {
		return this.placement;
	}

	/**
	 * Records that a server has begun its response and therefore holds the prompt in its
	 * cache.
	 * @param request the request
	 * @param target the server
	 */
	void recordPromptRead(GatewayRequest request, Target target) {
		if (request.head().prompt() != null && !target.relay()) {
			this.belief.holders().recordPrefill(request.head().prompt(), target.server().server().id(), nowMs());
		}
	}

	void recordOutcome(GatewayRequest request, Target target, ServerOutcome outcome) {
		if (target.relay()) {
			if (outcome == ServerOutcome.UNREACHABLE || outcome == ServerOutcome.SILENT) {
				this.relays.recordFailure(target);
			}
			return;
		}
		if (outcome == ServerOutcome.UNREACHABLE || outcome == ServerOutcome.SILENT) {
			this.reach.linkFailed(target.server().server());
		}
		target.server().health().record(outcome, nowMs());
		if (outcome == ServerOutcome.UNREACHABLE) {
			// The cache of a process that no longer listens is lost.
			this.belief.holders().forget(target.server().server().id());
			this.belief.coldServers().unreachable(target.server().server().id(), nowMs());
		}
		if (outcome != ServerOutcome.SERVED) {
			this.metrics.failed(request.service(), outcome.name());
		}
	}

	/**
	 * Records what a server says of itself in a response. A host that passes requests on
	 * keeps to limits and rests itself, but this host may reach the server again soon.
	 * @param target the server, or a host that passes the request on
	 * @param relayedServerId the server behind that host, or null if it is not known
	 * @param head the head of the response
	 * @param sentAtMs when the request was sent that the response answers
	 */
	void recordStatements(Target target, String relayedServerId, AnswerHead head, long sentAtMs) {
		long nowMs = nowMs();
		String serverId = target.relay() ? relayedServerId : target.server().server().id();
		if (serverId != null && this.belief.intake().recordLeaving(serverId, head.leaving(), sentAtMs, nowMs)) {
			this.log.leaves(serverId, head.leaving());
		}
		if (target.relay()) {
			return;
		}
		BackendServer server = target.server().server();
		if (head.restMs() != null && this.belief.intake().recordRest(server.id(), head.restMs(), nowMs)) {
			this.log.rests(server, head.restMs());
		}
		if (head.load() != null) {
			// A plain response is read after its request, which the report counts, ended.
			target.server().recordReport(head.load(), (target.work() == null) ? 1 : 0, nowMs);
		}
		recordLimit(server, head, target.server().load(), sentAtMs);
	}

	private void recordLimit(BackendServer server, AnswerHead head, int load, long sentAtMs) {
		Double limitPerS = head.requestLimitPerS();
		if (this.belief.requestLimits().record(server.id(), limitPerS, sentAtMs, nowMs())) {
			this.log.limitChanged(server, limitPerS, this.belief.loadFraction(server.service()));
		}
		if (head.rejectionsPerS() == null) {
			this.belief.requestLimits().recordNotBrittle(server.id(), sentAtMs);
		}
		else if (this.belief.requestLimits()
			.recordBrittle(server.id(), head.rejectionsPerS(), head.notRun(), nowMs())) {
			this.log.brittle(server, head.rejectionsPerS(), head.notRun(), load);
		}
	}

	/**
	 * Records that a server stopped responding. Its idle connections may be dead as well
	 * and are not reused.
	 * @param request the request
	 * @param target the server
	 */
	void recordTimeout(GatewayRequest request, Target target) {
		recordOutcome(request, target, ServerOutcome.SILENT);
		BackendPool pool = this.pools.pool(target.server().server().ip(), target.server().server().port());
		pool.evictIdle(pool.generation());
	}

	/**
	 * Returns the state of placement and of the retry budgets for diagnostics.
	 * @return the state in a form that Jackson can serialise
	 */
	Map<String, Object> dump() {
		Map<String, Object> budgets = new TreeMap<>();
		retryBudget().services().forEach((service) -> budgets.put(service, this.budget.usage(service, nowMs())));
		return Map.of("rememberedParts", this.belief.holders().size(), "retryBudgets", budgets, "hedgeDelaysMs",
				this.hedging.dump(), "coldShares", this.coldLimits.dump(nowMs()), "admission", this.admission.dump());
	}

	AnswerHead read(int status, Map<String, String> headers) {
		return this.protocol.read(status, headers);
	}

	/**
	 * The server of an attempt.
	 *
	 * @param server the server
	 * @param copyFrom a server to copy prompt parts from, or null
	 * @param reason why the server was chosen
	 * @param relay whether it is another host that passes the request on
	 * @param work what the request takes at a model engine, or null
	 */
	record Target(ServerState server, ServerState copyFrom, String reason, boolean relay, RequestPlacement.Work work) {

		/** The reason for a server that runs no other suspected request of this host. */
		static final String SUSPECTED = "SUSPECTED";

		/** The reason for the server of a second copy. */
		static final String SECOND_COPY = "SECOND_COPY";

		Target(ServerState server, ServerState copyFrom, String reason, boolean relay) {
			this(server, copyFrom, reason, relay, null);
		}

	}

}
