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
 * Sends requests to the leader of a share's group and follows it when it moves. Requests
 * must be safe to send again.
 */
final class LeaderClient {

	private static final int RETRY_DELAY_MS = 50;

	private static final int RETRY_AFTER_MS = 1_000;

	private final PeerTransport transport;

	private final Function<String, List<String>> replicas;

	private final Scheduler scheduler;

	private final Duration attemptTimeout;

	private final Map<String, String> leaders = new ConcurrentHashMap<>();

	/**
	 * Creates a client.
	 * @param transport sends the requests
	 * @param replicas returns the host ids of a share's replicas
	 * @param scheduler runs time-outs and delays
	 * @param attemptTimeout the longest wait for one reply; a frozen leader is left after
	 * it
	 */
	LeaderClient(PeerTransport transport, Function<String, List<String>> replicas, Scheduler scheduler,
			Duration attemptTimeout) {
		this.transport = transport;
		this.replicas = replicas;
		this.scheduler = scheduler;
		this.attemptTimeout = attemptTimeout;
	}

	/**
	 * Sends a request.
	 * @param share the share
	 * @param message the request
	 * @param type the type of the reply
	 * @param limit the longest time over all attempts
	 * @param <T> the type of the reply
	 * @return the reply; errors with code NO_QUORUM if no attempt can have been accepted,
	 * OUTCOME_UNKNOWN if one may have been, or the leader's refusal
	 */
	<T extends PeerMessage> Mono<T> request(String share, PeerMessage message, Class<T> type, Duration limit) {
		return Mono
			.defer(() -> new Search(share, message, this.scheduler.now(TimeUnit.MILLISECONDS) + limit.toMillis())
				.attempt())
			.cast(type);
	}

	/** One request on its way to the leader. */
	private final class Search {

		private final String share;

		private final PeerMessage message;

		private final long deadlineMs;

		private final List<String> hosts;

		private final Set<String> failed = new HashSet<>();

		private int nextHost;

		private String target;

		private boolean maybeAccepted;

		private String lastReason = "no replica is known";

		Search(String share, PeerMessage message, long deadlineMs) {
			this.share = share;
			this.message = message;
			this.deadlineMs = deadlineMs;
			this.hosts = LeaderClient.this.replicas.apply(share);
			this.target = LeaderClient.this.leaders.get(share);
		}

		Mono<PeerMessage> attempt() {
			long leftMs = this.deadlineMs - LeaderClient.this.scheduler.now(TimeUnit.MILLISECONDS);
			if (this.hosts.isEmpty() || leftMs <= 0) {
				return Mono.error(failure());
			}
			if (this.target == null) {
				this.target = nextHost();
			}
			long timeoutMs = Math.min(leftMs, LeaderClient.this.attemptTimeout.toMillis());
			return LeaderClient.this.transport.request(this.target, this.message, Duration.ofMillis(timeoutMs))
				.map((reply) -> new Attempt(reply, null))
				.onErrorResume((error) -> Mono.just(new Attempt(null, error)))
				.flatMap(this::next);
		}

		private String nextHost() {
			if (this.failed.containsAll(this.hosts)) {
				this.failed.clear();
			}
			String host = this.hosts.get(this.nextHost++ % this.hosts.size());
			while (this.failed.contains(host)) {
				host = this.hosts.get(this.nextHost++ % this.hosts.size());
			}
			return host;
		}

		private Mono<PeerMessage> next(Attempt attempt) {
			if (attempt.error() != null) {
				return afterError(attempt.error());
			}
			if (attempt.reply() instanceof ControlMessage.Redirect redirect) {
				return afterRedirect(redirect.leaderHostId());
			}
			LeaderClient.this.leaders.put(this.share, this.target);
			return Mono.just(attempt.reply());
		}

		private Mono<PeerMessage> afterRedirect(String leader) {
			this.lastReason = this.target + " does not lead";
			LeaderClient.this.leaders.remove(this.share, this.target);
			// Replicas name a frozen leader until they elect another.
			boolean elsewhere = leader != null && !leader.equals(this.target) && !this.failed.contains(leader);
			// Otherwise the host counts as asked, so that a leader whose reply was lost
			// is asked again after one round.
			if (!elsewhere) {
				this.failed.add(this.target);
			}
			this.target = elsewhere ? leader : null;
			return retry();
		}

		private Mono<PeerMessage> afterError(Throwable error) {
			if (!(error instanceof FescueholdException expected) || !isWorthRetrying(expected)) {
				return Mono.error(error);
			}
			this.lastReason = expected.getMessage();
			this.maybeAccepted |= expected.run() == RunStatus.UNKNOWN || expected.code() == ErrorCode.OUTCOME_UNKNOWN
					|| expected.code() == ErrorCode.STORAGE_FAILED;
			this.failed.add(this.target);
			LeaderClient.this.leaders.remove(this.share, this.target);
			this.target = null;
			return retry();
		}

		private static boolean isWorthRetrying(FescueholdException error) {
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
							ErrorCode.OUTCOME_UNKNOWN.message(this.lastReason))
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
