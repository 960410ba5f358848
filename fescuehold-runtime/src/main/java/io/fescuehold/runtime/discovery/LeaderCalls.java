package io.fescuehold.runtime.discovery;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.error.RunStatus;
import io.fescuehold.core.port.PeerTransport;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.util.retry.Retry;

/**
 * Calls to the leader on behalf of an operator. A call that certainly had no effect is
 * retried until its time-out, each time on the daemon that leads then.
 */
final class LeaderCalls {

	/** Minimum remaining time for a retry. */
	private static final long MIN_CALL_MS = 200;

	private final PeerTransport transport;

	private final Scheduler scheduler;

	private final Supplier<String> leader;

	/** The replica of this host, or null. */
	private final RoutingReplica replica;

	private final FleetOptions.Timing timing;

	LeaderCalls(PeerTransport transport, Scheduler scheduler, Supplier<String> leader, RoutingReplica replica,
			FleetOptions.Timing timing) {
		this.transport = transport;
		this.scheduler = scheduler;
		this.leader = leader;
		this.replica = replica;
		this.timing = timing;
	}

	/**
	 * Calls the leader.
	 * @param message the request message
	 * @param replyType the type of its reply
	 * @param <T> the type of the reply
	 * @return the reply; errors if no leader replies in time, in which case the call may
	 * or may not have had an effect
	 */
	<T extends SyncMessage> Mono<T> call(SyncMessage message, Class<T> replyType) {
		long deadlineMs = nowMs() + this.timing.submitMs();
		return Mono.defer(() -> {
			String hostId = this.leader.get();
			if (hostId == null) {
				return Mono.<T>error(new FescueholdException(ErrorCode.NOT_LEADER, describeLeader()));
			}
			long leftMs = Math.max(1, deadlineMs - nowMs());
			return this.transport.request(hostId, message, Duration.ofMillis(leftMs)).cast(replyType);
		})
			.subscribeOn(this.scheduler)
			.retryWhen(Retry.fixedDelay(Long.MAX_VALUE, Duration.ofMillis(this.timing.pullPauseMs()))
				.filter((error) -> hadNoEffect(error) && nowMs() < deadlineMs - MIN_CALL_MS)
				.scheduler(this.scheduler)
				.onRetryExhaustedThrow((spec, signal) -> signal.failure()));
	}

	private String describeLeader() {
		return (this.replica != null) ? this.replica.describeLeader() : "unknown";
	}

	private long nowMs() {
		return this.scheduler.now(TimeUnit.MILLISECONDS);
	}

	private static boolean hadNoEffect(Throwable error) {
		return error instanceof FescueholdException refusal && refusal.run() == RunStatus.NO;
	}

}
