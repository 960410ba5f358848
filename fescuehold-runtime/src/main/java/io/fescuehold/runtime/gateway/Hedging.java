package io.fescuehold.runtime.gateway;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

import io.fescuehold.core.prompt.PromptPart;
import io.fescuehold.core.retry.HedgeDecision;
import io.fescuehold.core.retry.HedgePolicy;
import io.fescuehold.core.servers.ServerState;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Second copies of requests that may be repeated: when one is due, whether it is sent and
 * to which server. Not thread-safe: confined to one thread.
 */
final class Hedging {

	/** A server with a larger part of its slots taken gets no second copies. */
	private static final double MAX_SERVER_LOAD_RATIO = 0.7;

	private final HedgePolicy policy;

	private final GatewayBelief belief;

	private final ServerCandidates candidates;

	private final ColdLimits coldLimits;

	private final QuarantineGuard guard;

	private final GatewayMetrics metrics;

	private final GatewayLog log;

	Hedging(HedgePolicy policy, GatewayBelief belief, ServerCandidates candidates, ColdLimits coldLimits,
			QuarantineGuard guard, GatewayMetrics metrics, GatewayLog log) {
		this.policy = policy;
		this.belief = belief;
		this.candidates = candidates;
		this.coldLimits = coldLimits;
		this.guard = guard;
		this.metrics = metrics;
		this.log = log;
	}

	/**
	 * Returns whether a request may have a second copy at some time.
	 * @param request the request
	 * @return whether it may be repeated and this host decides about its attempts
	 */
	boolean appliesTo(GatewayRequest request) {
		return this.policy.isOn() && request.route().isRepeatable() && request.route().maxAttempts() > 1
				&& request.hop() == null && !request.head().takesUp();
	}

	/**
	 * Counts the first copy of a request.
	 * @param service the service
	 */
	void recordRequest(String service) {
		this.policy.recordRequest(service);
	}

	/**
	 * Records how long a server took to answer.
	 * @param request the request
	 * @param target the server, or a host that passed the request on
	 * @param tookMs the time in milliseconds
	 */
	void recordTime(GatewayRequest request, Dispatcher.Target target, long tookMs) {
		if (!target.relay()) {
			this.policy.recordTime(work(request), tookMs, this.belief.nowMs());
		}
	}

	/**
	 * Returns the signal for the second copy of a request that begins now.
	 * @param request the request
	 * @param scheduler the scheduler of the delay
	 * @return emits when the copy is due, or never
	 */
	Mono<Long> due(GatewayRequest request, Scheduler scheduler) {
		long delayMs = this.policy.delayMs(work(request), this.belief.nowMs());
		return (delayMs < 0) ? Mono.empty() : Mono.delay(Duration.ofMillis(delayMs), scheduler);
	}

	/**
	 * Reserves a server for a second copy that is due, and takes the copy from the limits
	 * of the operators and of the retries.
	 * @param request the request
	 * @param first the server of the first copy
	 * @param tally what the copies share
	 * @param dispatcher counts the retries and the requests to the server
	 * @return the target, or null if no copy is sent
	 */
	Dispatcher.Target reserve(GatewayRequest request, Dispatcher.Target first, AttemptTally tally,
			Dispatcher dispatcher) {
		long nowMs = this.belief.nowMs();
		ServerState server = choose(request, first, tally, nowMs);
		HedgeDecision decision = (server != null)
				? this.policy.decide(work(request), request.leftMs(nowMs), room(request.service(), nowMs), nowMs)
				: new HedgeDecision.Refused(HedgeDecision.Reason.NO_SERVER);
		if (decision instanceof HedgeDecision.Send && !dispatcher.tryAcquireRetry(request, tally.attempts())) {
			this.policy.giveBack(request.service());
			decision = new HedgeDecision.Refused(HedgeDecision.Reason.RETRY_BUDGET);
		}
		return switch (decision) {
			case HedgeDecision.Refused(HedgeDecision.Reason reason) -> {
				this.metrics.hedgeRefused(reason.name());
				yield null;
			}
			case HedgeDecision.Send() -> {
				this.metrics.hedgeStarted(request.service());
				this.log.hedged(request, first, server, nowMs - request.receivedAtMs());
				dispatcher.consume(server);
				yield new Dispatcher.Target(server, null, Dispatcher.Target.SECOND_COPY, false);
			}
		};
	}

	private ServerState choose(GatewayRequest request, Dispatcher.Target first, AttemptTally tally, long nowMs) {
		if (this.guard.isSuspected(request)) {
			return null;
		}
		PromptPart subject = (request.head().prompt() != null) ? request.head().prompt().subject() : null;
		String firstDomain = first.server().server().failureDomain();
		List<ServerState> open = this.candidates.withinLimits(request.service(),
				this.candidates.of(request.service(), tally.tried(), new VersionBinding.Unbound(), nowMs), nowMs);
		return open.stream()
			.filter((server) -> server.health().isUsable(nowMs) && !this.coldLimits.isCold(server, nowMs)
					&& server.load() < MAX_SERVER_LOAD_RATIO * server.server().slots())
			.filter((server) -> !request.route().isStreaming() || isSameVersion(server, first.server(), nowMs))
			.filter((server) -> subject == null || this.belief.holders().holds(subject, server.server().id(), nowMs))
			.min(Comparator.comparing((ServerState server) -> server.server().failureDomain().equals(firstDomain))
				.thenComparingDouble((server) -> server.load() / (double) Math.max(1, server.server().slots())))
			.orElse(null);
	}

	// The hosts record one version for a stream, whichever copy wins.
	private static boolean isSameVersion(ServerState server, ServerState first, long nowMs) {
		return server.isVersionCertain(nowMs) && first.isVersionCertain(nowMs)
				&& server.server().versionName().equals(first.server().versionName());
	}

	private HedgePolicy.Room room(String service, long nowMs) {
		List<ServerState> usable = this.belief.servers()
			.of(service)
			.stream()
			.filter((server) -> server.health().isUsable(nowMs))
			.toList();
		return new HedgePolicy.Room(usable.stream().mapToInt(ServerState::load).sum(),
				usable.stream().mapToInt((server) -> server.server().slots()).sum());
	}

	/**
	 * Records which copy of a request answered first.
	 * @param request the request
	 * @param secondWon whether it was the second one
	 */
	void recordOutcome(GatewayRequest request, boolean secondWon) {
		this.policy.recordOutcome(request.service(), secondWon);
		this.metrics.hedgeEnded(request.service(), secondWon);
	}

	/**
	 * Forgets the times of services that are no longer configured.
	 */
	void retainConfigured() {
		this.policy.retain(this.belief.serviceNames());
	}

	/**
	 * Returns the state for diagnostics.
	 * @return the delays of second copies by kind of work, in milliseconds
	 */
	Map<String, Long> dump() {
		return this.policy.delaysMs(this.belief.nowMs());
	}

	private static HedgePolicy.Work work(GatewayRequest request) {
		return HedgePolicy.Work.of(request.service(),
				(request.head().prompt() != null) ? request.head().prompt().promptTokens() : 0);
	}

}
