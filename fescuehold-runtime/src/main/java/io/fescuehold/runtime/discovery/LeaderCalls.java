package io.fescuehold.runtime.discovery;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.error.RunStatus;
import io.fescuehold.core.evacuation.EvacuationOrder;
import io.fescuehold.core.evacuation.Evacuations;
import io.fescuehold.core.port.PeerTransport;
import io.fescuehold.core.routes.EvacuationCommand;
import io.fescuehold.core.routes.RoutingDocument;
import io.fescuehold.core.routes.SubmissionOutcome;
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

	/** Several orders at once conflict, and each round lets one of them take effect. */
	private static final int MAX_EVACUATION_CALLS = 8;

	private final PeerTransport transport;

	private final Scheduler scheduler;

	private final Supplier<String> leader;

	/** The replica of this host, or null. */
	private final RoutingReplica replica;

	private final FleetOptions.Timing timing;

	private final ConfigurationInForce configuration;

	private final EvacuationsInForce evacuations;

	LeaderCalls(PeerTransport transport, Scheduler scheduler, Supplier<String> leader, RoutingReplica replica,
			FleetOptions.Timing timing, ConfigurationInForce configuration, EvacuationsInForce evacuations) {
		this.transport = transport;
		this.scheduler = scheduler;
		this.leader = leader;
		this.replica = replica;
		this.timing = timing;
		this.configuration = configuration;
		this.evacuations = evacuations;
	}

	/**
	 * Submits a configuration. An outcome that acknowledges it is only returned once this
	 * daemon obeys the configuration or a newer one.
	 * @param submission the configuration
	 * @return the outcome; errors if no leader replies in time or this daemon cannot put
	 * the configuration in force, in which case it may or may not take effect
	 */
	Mono<SubmissionOutcome> submit(RoutingDocument submission) {
		return call(new SyncMessage.Submit(submission.encode()), SyncMessage.Submitted.class).publishOn(this.scheduler)
			.flatMap((reply) -> {
				SubmissionOutcome outcome = SubmissionOutcome.valueOf(reply.outcome());
				return switch (outcome) {
					case ACCEPTED, REPEATED -> obey(submission).thenReturn(outcome);
					case OVERTAKEN -> obeyNewerThan(submission).thenReturn(outcome);
					case CONFLICT -> Mono.just(outcome);
				};
			});
	}

	private Mono<Void> obey(RoutingDocument committed) {
		return this.configuration.take(committed, "an operator") ? Mono.empty()
				: Mono.error(new FescueholdException(ErrorCode.OUTCOME_UNKNOWN,
						"configuration " + committed.number() + " cannot be put in force here"));
	}

	private Mono<Void> obeyNewerThan(RoutingDocument overtaken) {
		return (this.configuration.number() > overtaken.number()) ? Mono.empty() : callForNewest().flatMap(this::obey);
	}

	/**
	 * Gives an order to evacuate a failure domain. It is acknowledged once it is
	 * committed and this daemon obeys it. If the evacuations have changed meanwhile, the
	 * order is given once more on top of that change.
	 * @param order the order
	 * @return the evacuations; errors if no leader replies in time, in which case the
	 * order may or may not take effect
	 */
	Mono<Evacuations> evacuate(EvacuationOrder order) {
		return Mono.defer(() -> evacuate(order, this.evacuations.revision(), MAX_EVACUATION_CALLS))
			.subscribeOn(this.scheduler);
	}

	private Mono<Evacuations> evacuate(EvacuationOrder order, long expectedRevision, int calls) {
		byte[] command = new EvacuationCommand(order, expectedRevision).encode();
		return call(new SyncMessage.Evacuate(command), SyncMessage.Evacuated.class).publishOn(this.scheduler)
			.flatMap((reply) -> {
				this.evacuations.take(reply.evacuations(), "an operator");
				if (SubmissionOutcome.valueOf(reply.outcome()) == SubmissionOutcome.CONFLICT && calls > 1) {
					return evacuate(order, reply.evacuations().revision(), calls - 1);
				}
				Evacuations obeyed = this.evacuations.current();
				return obeyed.fulfil(order) ? Mono.just(obeyed)
						: Mono.error(new FescueholdException(ErrorCode.OUTCOME_UNKNOWN,
								"another order changed evacuations " + obeyed + " meanwhile"));
			});
	}

	/**
	 * Reads the newest configuration, which is also put in force.
	 * @return the configuration; errors if no leader replies in time
	 */
	Mono<RoutingDocument> readNewest() {
		return callForNewest().doOnNext((newest) -> this.configuration.take(newest, "a read of the newest"));
	}

	private Mono<RoutingDocument> callForNewest() {
		return call(new SyncMessage.ReadNewest(), SyncMessage.Newest.class)
			.map((reply) -> RoutingDocument.decode(reply.document()))
			.publishOn(this.scheduler);
	}

	private <T extends SyncMessage> Mono<T> call(SyncMessage message, Class<T> replyType) {
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
