package io.fescuehold.runtime.control;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.error.RunStatus;
import io.fescuehold.core.port.PeerMessage;
import io.fescuehold.core.port.PeerTransport;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Sends requests to the leader of a share's group and follows leader changes. Requests
 * must be safe to retry.
 */
final class LeaderClient {

	private static final int RETRY_DELAY_MS = 50;

	private static final int RETRY_AFTER_MS = 1_000;

	private final PeerTransport transport;

	private final Function<String, List<String>> replicas;

	private final Scheduler scheduler;

	private final Duration attemptTimeout;

	private final Map<String, String> leaderByShare = new ConcurrentHashMap<>();

	/**
	 * Creates a client.
	 * @param transport sends the requests
	 * @param replicas returns the host ids of a share's replicas
	 * @param scheduler runs time-outs and delays
	 * @param attemptTimeout the longest wait for one reply; after it, another replica is
	 * tried
	 */
	LeaderClient(PeerTransport transport, Function<String, List<String>> replicas, Scheduler scheduler,
			Duration attemptTimeout) {
		this.transport = transport;
		this.replicas = replicas;
		this.scheduler = scheduler;
		this.attemptTimeout = attemptTimeout;
	}

	/**
	 * Sends a request to the leader, with retries.
	 * @param share the share
	 * @param message the request
	 * @param type the type of the reply
	 * @param limit the time limit for all attempts together
	 * @param <T> the type of the reply
	 * @return the reply; errors with code NO_QUORUM if no attempt can have been accepted,
	 * OUTCOME_UNKNOWN if one may have been, or the leader's refusal
	 */
	<T extends PeerMessage> Mono<T> request(String share, PeerMessage message, Class<T> type, Duration limit) {
		return Mono
			.defer(() -> new LeaderRequest(share, message, this.scheduler.now(TimeUnit.MILLISECONDS) + limit.toMillis())
				.attempt())
			.cast(type);
	}

	/** The state of one request over all its attempts. */
	private final class LeaderRequest {

		private final String share;

		private final PeerMessage message;

		private final long deadlineMs;

		private final List<String> hosts;

		private final Set<String> excludedHosts = new HashSet<>();

		private int nextHostIndex;

		private String target;

		private boolean maybeAccepted;

		private String lastFailure = "no replica is known";

		LeaderRequest(String share, PeerMessage message, long deadlineMs) {
			this.share = share;
			this.message = message;
			this.deadlineMs = deadlineMs;
			this.hosts = LeaderClient.this.replicas.apply(share);
			this.target = LeaderClient.this.leaderByShare.get(share);
		}

		Mono<PeerMessage> attempt() {
			long remainingMs = this.deadlineMs - LeaderClient.this.scheduler.now(TimeUnit.MILLISECONDS);
			if (this.hosts.isEmpty() || remainingMs <= 0) {
				return Mono.error(failure());
			}
			if (this.target == null) {
				this.target = nextHost();
			}
			long timeoutMs = Math.min(remainingMs, LeaderClient.this.attemptTimeout.toMillis());
			return LeaderClient.this.transport.request(this.target, this.message, Duration.ofMillis(timeoutMs))
				.map((reply) -> new Attempt(reply, null))
				.onErrorResume((error) -> Mono.just(new Attempt(null, error)))
				.flatMap(this::handle);
		}

		private String nextHost() {
			if (this.excludedHosts.containsAll(this.hosts)) {
				this.excludedHosts.clear();
			}
			String host = this.hosts.get(this.nextHostIndex++ % this.hosts.size());
			while (this.excludedHosts.contains(host)) {
				host = this.hosts.get(this.nextHostIndex++ % this.hosts.size());
			}
			return host;
		}

		private Mono<PeerMessage> handle(Attempt attempt) {
			if (attempt.error() != null) {
				return handleError(attempt.error());
			}
			if (attempt.reply() instanceof ControlMessage.Redirect redirect) {
				return handleRedirect(redirect.leaderHostId());
			}
			LeaderClient.this.leaderByShare.put(this.share, this.target);
			return Mono.just(attempt.reply());
		}

		private Mono<PeerMessage> handleRedirect(String leader) {
			this.lastFailure = this.target + " is not the leader";
			LeaderClient.this.leaderByShare.remove(this.share, this.target);
			// Replicas report an unresponsive leader until they elect another one.
			boolean hasNewTarget = leader != null && !leader.equals(this.target)
					&& !this.excludedHosts.contains(leader);
			// Without a new target, the host is skipped for the rest of the round, so
			// that a leader whose reply was lost is tried again in the next round.
			if (!hasNewTarget) {
				this.excludedHosts.add(this.target);
			}
			this.target = hasNewTarget ? leader : null;
			return retry();
		}

		private Mono<PeerMessage> handleError(Throwable error) {
			if (!(error instanceof FescueholdException expected) || !isRetryable(expected)) {
				return Mono.error(error);
			}
			this.lastFailure = expected.getMessage();
			this.maybeAccepted |= expected.run() == RunStatus.UNKNOWN || expected.code() == ErrorCode.OUTCOME_UNKNOWN
					|| expected.code() == ErrorCode.STORAGE_FAILED;
			this.excludedHosts.add(this.target);
			LeaderClient.this.leaderByShare.remove(this.share, this.target);
			this.target = null;
			return retry();
		}

		private static boolean isRetryable(FescueholdException error) {
			return switch (error.code()) {
				case NO_QUORUM, NOT_LEADER, NO_SERVER, OUTCOME_UNKNOWN, DRAINING, STORAGE_FAILED -> true;
				default -> false;
			};
		}

		private Mono<PeerMessage> retry() {
			return Mono.delay(Duration.ofMillis(RETRY_DELAY_MS), LeaderClient.this.scheduler)
				.then(Mono.defer(this::attempt));
		}

		private FescueholdException failure() {
			return this.maybeAccepted
					? FescueholdException.withMessage(ErrorCode.OUTCOME_UNKNOWN, RunStatus.UNKNOWN, RETRY_AFTER_MS,
							ErrorCode.OUTCOME_UNKNOWN.message(this.lastFailure))
					: FescueholdException.withMessage(ErrorCode.NO_QUORUM, RunStatus.NO, RETRY_AFTER_MS,
							ErrorCode.NO_QUORUM.message(this.share));
		}

	}

	/**
	 * The result of one attempt.
	 *
	 * @param reply the reply, or null
	 * @param error the error, or null
	 */
	private record Attempt(PeerMessage reply, Throwable error) {

	}

}
