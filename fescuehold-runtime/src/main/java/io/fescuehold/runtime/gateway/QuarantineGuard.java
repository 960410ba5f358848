package io.fescuehold.runtime.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.error.RunStatus;
import io.fescuehold.core.membership.HostRecord;
import io.fescuehold.core.membership.HostState;
import io.fescuehold.core.port.ServerReach;
import io.fescuehold.core.quarantine.Attribution;
import io.fescuehold.core.quarantine.RequestQuarantine;
import io.fescuehold.core.servers.BackendServer;
import io.fescuehold.core.servers.ServerOutcome;
import io.fescuehold.core.servers.ServerState;
import io.fescuehold.runtime.backend.ConnectProbe;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.netty.resources.LoopResources;

/**
 * Keeps requests that crash servers away from the servers. A lost connection counts as a
 * crash if the server refuses connections afterwards. Not thread-safe: confined to one
 * thread.
 */
final class QuarantineGuard {

	/** The connections of a server that crashes are lost within a few milliseconds. */
	private static final long CHECK_DELAY_MS = 20;

	private static final int CONNECT_TIMEOUT_MS = 400;

	/** The outcome of a trial is usually known within this time. */
	private static final long TRIAL_RETRY_AFTER_MS = 2_000;

	private final GatewayBelief belief;

	private final RequestQuarantine quarantine;

	private final Scheduler scheduler;

	private final LoopResources loops;

	private final ServerReach reach;

	private final GatewayLog log;

	private final GatewayMetrics metrics;

	/** The attempts whose server has not begun to answer. */
	private final Set<Attempts> unanswered = new HashSet<>();

	/**
	 * The features of the requests whose connections were lost, by server, until the
	 * server is checked.
	 */
	private final Map<String, Set<Set<String>>> lostRequests = new HashMap<>();

	private List<Attribution> attributions = List.of();

	QuarantineGuard(GatewayBelief belief, Scheduler scheduler, LoopResources loops, ServerReach reach, GatewayLog log,
			GatewayMetrics metrics) {
		this.reach = reach;
		this.belief = belief;
		this.quarantine = belief.quarantine();
		this.scheduler = scheduler;
		this.loops = loops;
		this.log = log;
		this.metrics = metrics;
		this.quarantine.setChangeListener(this::onAttributionsChanged);
	}

	/**
	 * Returns whether a request must not be sent.
	 * @param request the request
	 * @return the attribution that forbids it, or null
	 */
	Attribution check(GatewayRequest request) {
		Attribution attribution = this.quarantine.find(request.service(), request.features());
		if (attribution == null) {
			return null;
		}
		List<String> hostIds = this.belief.hosts()
			.stream()
			.filter((host) -> host.state() == HostState.READY)
			.map(HostRecord::hostId)
			.toList();
		if (this.quarantine.tryAcquireTrial(attribution, hostIds, nowMs())) {
			this.log.quarantineTrial(request, attribution);
			return null;
		}
		this.metrics.quarantined(request.service());
		return attribution;
	}

	/**
	 * Creates the error of a request that was not sent to any server.
	 * @param attribution the attribution that forbids it
	 * @return the error
	 */
	FescueholdException refusal(Attribution attribution) {
		long retryAfterMs = Math.max(TRIAL_RETRY_AFTER_MS, attribution.heldUntilMs() - nowMs());
		return attribution.isRequest()
				? FescueholdException.of(ErrorCode.REQUEST_QUARANTINED, RunStatus.NO, retryAfterMs,
						attribution.service())
				: FescueholdException.of(ErrorCode.PROMPT_QUARANTINED, RunStatus.NO, retryAfterMs,
						attribution.features(), attribution.service());
	}

	/**
	 * Creates the error of a request that may have run at a server.
	 * @param attribution the attribution that ends it
	 * @param serverId the server
	 * @return the error
	 */
	FescueholdException cancellation(Attribution attribution, String serverId) {
		return attribution.isRequest()
				? FescueholdException.of(ErrorCode.REQUEST_CRASHES_SERVERS, RunStatus.UNKNOWN, 0, serverId,
						attribution.service())
				: FescueholdException.of(ErrorCode.PROMPT_CRASHES_SERVERS, RunStatus.UNKNOWN, 0, attribution.features(),
						serverId, attribution.service());
	}

	/**
	 * Returns whether a request may be to blame for a crash. Requests that were lost
	 * together are then sent to different servers, so that the next outcome of each tells
	 * which one is.
	 * @param request the request
	 * @return whether a server was lost that had not begun to answer it
	 */
	boolean isSuspected(GatewayRequest request) {
		return this.quarantine.isSuspected(request.service(), request.features())
				|| (!this.lostRequests.isEmpty() && this.lostRequests.values()
					.stream()
					.flatMap(Set::stream)
					.anyMatch((features) -> features.contains(request.features().identity().id())));
	}

	/**
	 * Returns whether a server runs a request of this host that may be to blame for a
	 * crash.
	 * @param serverId the instance id of the server
	 * @return whether it has not begun to answer such a request
	 */
	boolean hasSuspect(String serverId) {
		return this.unanswered.stream().anyMatch((attempts) -> attempts.isSuspectAt(serverId));
	}

	void attemptStarted(Attempts attempts) {
		this.unanswered.add(attempts);
	}

	void attemptEnded(Attempts attempts) {
		this.unanswered.remove(attempts);
	}

	/**
	 * Records that a server answers a request without crashing.
	 * @param attempts the attempts at the request
	 * @param request the request
	 */
	void answered(Attempts attempts, GatewayRequest request) {
		this.unanswered.remove(attempts);
		this.quarantine.recordAnswer(request.service(), request.features(), nowMs());
	}

	/**
	 * Records that the connection to a server was lost before it answered a request.
	 * @param request the request
	 * @param server the server
	 */
	void connectionLost(GatewayRequest request, ServerState server) {
		BackendServer backend = server.server();
		if (backend.leaving()) {
			return;
		}
		Set<Set<String>> requests = this.lostRequests.get(backend.id());
		if (requests == null) {
			requests = new HashSet<>();
			this.lostRequests.put(backend.id(), requests);
			long lostAtMs = nowMs();
			this.scheduler.schedule(() -> probe(backend, lostAtMs), CHECK_DELAY_MS, TimeUnit.MILLISECONDS);
		}
		requests.add(request.features().ids());
	}

	private void probe(BackendServer server, long lostAtMs) {
		ConnectProbe.probe(server, this.loops, CONNECT_TIMEOUT_MS)
			.map((result) -> result == ConnectProbe.Result.REFUSED)
			.flatMap((refused) -> refused ? this.reach.isReachedByOthers(server).map((reached) -> !reached)
					: Mono.just(false))
			.publishOn(this.scheduler)
			.subscribe((crashed) -> onProbed(server, lostAtMs, crashed));
	}

	private void onProbed(BackendServer server, long lostAtMs, boolean crashed) {
		Set<Set<String>> requests = this.lostRequests.remove(server.id());
		this.log.serverProbed(server, requests.size(), crashed);
		if (crashed) {
			ServerState state = this.belief.servers().find(server.id());
			if (state != null) {
				state.health().record(ServerOutcome.UNREACHABLE, nowMs());
				this.belief.holders().forget(server.id());
				this.belief.intake().forget(server.id());
			}
			this.quarantine.recordCrash(server.service(), server.id(), requests, lostAtMs);
		}
	}

	private void onAttributionsChanged() {
		List<Attribution> previous = this.attributions;
		this.attributions = this.quarantine.attributions();
		long nowMs = nowMs();
		for (Attribution attribution : this.attributions) {
			if (!previous.contains(attribution)) {
				this.log.quarantined(attribution, nowMs);
				excuseServers(attribution, previous, nowMs);
			}
		}
		previous.stream()
			.filter((attribution) -> this.attributions.stream()
				.noneMatch((current) -> current.features().equals(attribution.features())))
			.forEach(this.log::quarantineLifted);
		for (Attempts attempts : new ArrayList<>(this.unanswered)) {
			GatewayRequest request = attempts.request();
			Attribution attribution = this.quarantine.find(request.service(), request.features());
			if (attribution != null && nowMs < attribution.heldUntilMs()) {
				this.unanswered.remove(attempts);
				attempts.withdrawal().byQuarantine(attribution);
			}
		}
	}

	private void excuseServers(Attribution attribution, List<Attribution> previous, long nowMs) {
		for (int index = 0; index < attribution.serverIds().size(); index++) {
			String serverId = attribution.serverIds().get(index);
			long crashedAtMs = attribution.crashedAtMs().get(index);
			ServerState server = this.belief.servers().find(serverId);
			if (server != null && previous.stream().noneMatch((other) -> other.crashedAtMs().contains(crashedAtMs))) {
				server.health().excuse(nowMs);
			}
		}
	}

	private long nowMs() {
		return this.scheduler.now(TimeUnit.MILLISECONDS);
	}

}
