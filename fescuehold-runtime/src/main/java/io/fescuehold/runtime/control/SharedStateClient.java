package io.fescuehold.runtime.control;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;

import com.google.common.flogger.FluentLogger;
import io.fescuehold.config.ShareConfig;
import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.error.RunStatus;
import io.fescuehold.core.port.FleetViews;
import io.fescuehold.core.port.PeerTransport;
import io.fescuehold.core.port.SharedState;
import io.fescuehold.core.state.CallOutcome;
import io.fescuehold.core.state.CommandOutcome;
import io.fescuehold.core.state.StateCommand;
import io.fescuehold.core.state.StateOutcome;
import io.fescuehold.core.state.StoredAnswer;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Accesses the replicated state of all shares through the leaders of their groups.
 */
public final class SharedStateClient implements SharedState {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** The largest answer body that any policy allows to store. */
	private static final int MAX_SENT_ANSWER_BYTES = 1_048_576;

	// Leaves time to try a third replica within the limit if two do not respond.
	private static final Duration ATTEMPT_TIMEOUT = Duration.ofMillis(600);

	// Longer, because each retry of a submission sends a whole configuration again.
	private static final Duration OPERATOR_ATTEMPT_TIMEOUT = Duration.ofMillis(2_000);

	private static final Duration CALL_LIMIT = Duration.ofMillis(2_000);

	private static final Duration FREE_KEY_LIMIT = Duration.ofSeconds(30);

	private static final Duration OPERATOR_LIMIT = Duration.ofSeconds(10);

	private static final Duration MEMBERSHIP_LIMIT = Duration.ofMinutes(5);

	private final LeaderClient callClient;

	private final LeaderClient operatorClient;

	private final LeaderClient membershipClient;

	private final PeerTransport transport;

	private final Function<String, List<String>> replicas;

	private final FleetViews views;

	private final String attemptPrefix = UUID.randomUUID().toString();

	private final AtomicLong attempts = new AtomicLong();

	/**
	 * Creates a client.
	 * @param transport sends the requests; the replies of {@link ControlMessage} must be
	 * registered
	 * @param replicas returns the host ids of a share's replicas
	 * @param views the configurations, which list the teams that a share has claimed
	 * @param scheduler runs time-outs and delays
	 */
	public SharedStateClient(PeerTransport transport, Function<String, List<String>> replicas, FleetViews views,
			Scheduler scheduler) {
		this.transport = transport;
		this.replicas = replicas;
		this.views = views;
		this.callClient = new LeaderClient(transport, replicas, scheduler, ATTEMPT_TIMEOUT);
		this.operatorClient = new LeaderClient(transport, replicas, scheduler, OPERATOR_ATTEMPT_TIMEOUT);
		this.membershipClient = new LeaderClient(transport, replicas, scheduler, MEMBERSHIP_LIMIT);
	}

	@Override
	public Mono<CallOutcome> begin(String share, StateCommand.BeginCall command) {
		return Mono.defer(() -> {
			Map<String, ShareConfig> shares = this.views.current().shares();
			StateCommand.BeginCall begin = withAttemptAndTransfer(command, shares.get(share));
			return lookUpInOtherShares(share, begin, shares)
				.switchIfEmpty(Mono.defer(() -> requestGrant(share, begin)));
		});
	}

	private StateCommand.BeginCall withAttemptAndTransfer(StateCommand.BeginCall command, ShareConfig config) {
		String attemptId = command.attemptId().isEmpty() ? this.attemptPrefix + "-" + this.attempts.incrementAndGet()
				: command.attemptId();
		return new StateCommand.BeginCall(command.key(), command.bodyDigest(), command.service(), command.routerId(),
				command.deadlineMs(), command.nowMs(), attemptId,
				StateCommand.transferIdOf(config, command.key().team()));
	}

	// All other shares are queried, because the team may have been transferred more than
	// once.
	private Mono<CallOutcome> lookUpInOtherShares(String share, StateCommand.BeginCall begin,
			Map<String, ShareConfig> shares) {
		if (begin.askedUnder().isEmpty()) {
			return Mono.empty();
		}
		Set<String> others = new TreeSet<>(shares.keySet());
		shares.get(share).claims().forEach((claim) -> others.add(claim.fromShare()));
		others.remove(share);
		StateCommand.LookupCall lookup = new StateCommand.LookupCall(begin.key(), begin.bodyDigest(), begin.nowMs());
		return Flux.fromIterable(others)
			.flatMap((other) -> send(other, lookup, CALL_LIMIT).onErrorResume(FescueholdException.class, (error) -> {
				logger.atWarning()
					.withCause(error)
					.log("Lookup in share %s of an earlier call of team %s failed", other, begin.key().team());
				return Mono.just(new CallOutcome.Unknown());
			}))
			.ofType(CallOutcome.class)
			.collectList()
			.flatMap((found) -> Mono.justOrEmpty(preferKnownOutcome(found)));
	}

	private static CallOutcome preferKnownOutcome(List<CallOutcome> found) {
		return found.stream()
			.filter((outcome) -> !(outcome instanceof CallOutcome.Unknown))
			.findFirst()
			.orElse(found.isEmpty() ? null : found.getFirst());
	}

	private Mono<CallOutcome> requestGrant(String share, StateCommand.BeginCall begin) {
		return send(share, begin, CALL_LIMIT).cast(CallOutcome.class).onErrorMap(FescueholdException.class, (error) -> {
			if (error.code() != ErrorCode.OUTCOME_UNKNOWN) {
				return error;
			}
			freeKey(share, begin);
			// The grant may exist, but nothing was dispatched under it.
			return FescueholdException.withMessage(ErrorCode.OUTCOME_UNKNOWN, RunStatus.NO, error.retryAfterMs(),
					error.getMessage());
		});
	}

	// Frees the key of a call that was never dispatched. Otherwise the caller's next
	// attempt would be answered with an unknown outcome.
	private void freeKey(String share, StateCommand.BeginCall begin) {
		send(share, begin, FREE_KEY_LIMIT).ofType(CallOutcome.Granted.class)
			.flatMap((granted) -> send(share,
					new StateCommand.MarkNotRun(begin.key(), granted.fencingNumber(), begin.nowMs()), FREE_KEY_LIMIT))
			.subscribe((outcome) -> {
			}, (error) -> logger.atWarning()
				.withCause(error)
				.log("The idempotency key of an undispatched call of team %s could not be freed", begin.key().team()));
	}

	@Override
	public Mono<StateOutcome> apply(String share, StateCommand command) {
		return send(share, limitAnswer(command), CALL_LIMIT).cast(StateOutcome.class);
	}

	private static StateCommand limitAnswer(StateCommand command) {
		if (command instanceof StateCommand.CompleteCall complete
				&& complete.answer().body().length > MAX_SENT_ANSWER_BYTES) {
			StoredAnswer answer = new StoredAnswer(complete.answer().status(), complete.answer().headers(), new byte[0],
					true);
			return new StateCommand.CompleteCall(complete.key(), complete.fencingNumber(), answer, complete.nowMs());
		}
		return command;
	}

	private Mono<CommandOutcome> send(String share, StateCommand command, Duration limit) {
		return this.callClient
			.request(share, new ControlMessage.Apply(share, command), ControlMessage.Applied.class, limit)
			.map(ControlMessage.Applied::outcome);
	}

	/**
	 * Submits a configuration.
	 * @param share the share
	 * @param configJson the JSON of the configuration
	 * @param operator the name of the operator
	 * @return the outcome
	 */
	public Mono<StateOutcome> submit(String share, byte[] configJson, String operator) {
		return this.operatorClient
			.request(share, new ControlMessage.Apply(share, new StateCommand.Submit(configJson, operator, 0)),
					ControlMessage.Applied.class, OPERATOR_LIMIT)
			.map(ControlMessage.Applied::outcome)
			.cast(StateOutcome.class);
	}

	/**
	 * Returns the changes that a submission would make.
	 * @param share the share
	 * @param configJson the JSON of the configuration
	 * @return the result
	 */
	public Mono<ControlMessage.DryRunResult> dryRun(String share, byte[] configJson) {
		return this.operatorClient.request(share, new ControlMessage.DryRun(share, configJson),
				ControlMessage.DryRunResult.class, OPERATOR_LIMIT);
	}

	/**
	 * Reads the configuration in force.
	 * @param share the share
	 * @return the configuration, at least as new as any accepted before the call
	 */
	public Mono<ControlMessage.ShareRead> read(String share) {
		return this.operatorClient.request(share, new ControlMessage.ReadShare(share), ControlMessage.ShareRead.class,
				OPERATOR_LIMIT);
	}

	/**
	 * Changes the replicas of a share.
	 * @param change the change
	 * @return a description of the membership reached
	 */
	public Mono<String> changeMembership(MembershipChange change) {
		return this.membershipClient
			.request(change.share(), new ControlMessage.ChangeMembership(change),
					ControlMessage.MembershipChanged.class, MEMBERSHIP_LIMIT)
			.map(ControlMessage.MembershipChanged::result);
	}

	/**
	 * Queries every replica of a share for the status of its group.
	 * @param share the share
	 * @return the status by host id, without an entry for hosts that do not respond
	 */
	public Mono<Map<String, ControlMessage.GroupStatus>> groupStatus(String share) {
		return Flux.fromIterable(this.replicas.apply(share))
			.flatMap((hostId) -> this.transport.request(hostId, new ControlMessage.ReadGroup(share), ATTEMPT_TIMEOUT)
				.cast(ControlMessage.GroupStatus.class)
				.map((status) -> Map.entry(hostId, status))
				.onErrorResume((error) -> Mono.empty()))
			.collect(TreeMap::new, (map, entry) -> map.put(entry.getKey(), entry.getValue()));
	}

}
