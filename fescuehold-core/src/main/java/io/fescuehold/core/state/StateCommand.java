package io.fescuehold.core.state;

import java.util.List;
import java.util.Objects;

import io.fescuehold.config.ItemKind;
import io.fescuehold.config.ShareConfig;

/**
 * A command of the replicated state machine. Commands carry the proposer's time, so that
 * they are applied deterministically on every replica. Required values are checked on
 * construction, because a command that throws when it is applied would stop every
 * replica.
 */
public sealed interface StateCommand {

	/**
	 * Returns the command with another time. The deadline of a {@link BeginCall} is
	 * shifted by the same amount, so that clock skew between router and leader does not
	 * change the time allowed for the call.
	 * @param newNowMs the time in milliseconds since the epoch
	 * @return the command at that time, or this command if it carries no time
	 */
	default StateCommand withTime(long newNowMs) {
		return switch (this) {
			case Submit submit -> new Submit(submit.configJson(), submit.operator(), newNowMs);
			case BeginCall begin -> {
				long shiftMs = (begin.nowMs() > 0) ? newNowMs - begin.nowMs() : 0;
				yield new BeginCall(begin.key(), begin.bodyDigest(), begin.service(), begin.routerId(),
						begin.deadlineMs() + shiftMs, newNowMs, begin.attemptId(), begin.askedUnder());
			}
			case LookupCall lookup -> new LookupCall(lookup.key(), lookup.bodyDigest(), newNowMs);
			case CompleteCall complete ->
				new CompleteCall(complete.key(), complete.fencingNumber(), complete.answer(), newNowMs);
			case MarkNotRun mark -> new MarkNotRun(mark.key(), mark.fencingNumber(), newNowMs);
			case MarkUnknown mark -> new MarkUnknown(mark.key(), mark.fencingNumber(), newNowMs);
			case AcquireOrderLease lease -> new AcquireOrderLease(lease.serverId(), lease.holder(),
					lease.checksFencing(), lease.leaseMs(), newNowMs);
			case ObserveShare observe -> observe;
		};
	}

	/**
	 * Returns an identifier of the transfer by which a share claimed a team.
	 * @param config the configuration of the share, or null
	 * @param team the team
	 * @return the releasing share and the number of the release, separated by a space, or
	 * empty if the configuration has no claim on the team
	 */
	static String transferIdOf(ShareConfig config, String team) {
		if (config == null) {
			return "";
		}
		return config.claims()
			.stream()
			.filter((claim) -> claim.kind() == ItemKind.TEAM && claim.id().equals(team))
			.map((claim) -> claim.fromShare() + " " + claim.releaseNumber())
			.findFirst()
			.orElse("");
	}

	/**
	 * Submits a configuration. Answered by a {@link StateOutcome.Submitted},
	 * {@link StateOutcome.SubmissionConflict} or {@link StateOutcome.SubmissionRefused}.
	 *
	 * @param configJson the canonical JSON of the configuration
	 * @param operator the name of the operator, for the conflict message
	 * @param nowMs the leader's wall-clock time in milliseconds since the epoch
	 */
	record Submit(byte[] configJson, String operator, long nowMs) implements StateCommand {

		public Submit {
			Objects.requireNonNull(configJson, "configJson");
			Objects.requireNonNull(operator, "operator");
		}

	}

	/**
	 * Records a non-idempotent call before its dispatch. Answered by a
	 * {@link CallOutcome}.
	 *
	 * @param key the key of the call
	 * @param bodyDigest the SHA-256 over method, path and body in hexadecimal
	 * @param service the service that is called
	 * @param routerId the host id of the dispatching router
	 * @param deadlineMs the wall-clock time in milliseconds since the epoch after which
	 * the call counts as unknown unless it has completed
	 * @param nowMs the leader's wall-clock time in milliseconds since the epoch
	 * @param attemptId identifies this attempt, so that the same router can resend it and
	 * receive the same grant; empty if the command is never resent
	 * @param askedUnder the {@linkplain #transferIdOf(ShareConfig, String) transfer} of
	 * the team that was in the router's configuration when it queried the other shares
	 * for an earlier call, or empty. A router with an outdated configuration has not
	 * queried them for calls that ran after that configuration, so the state machine
	 * refuses the command if its own transfer differs
	 */
	record BeginCall(CallKey key, String bodyDigest, String service, String routerId, long deadlineMs, long nowMs,
			String attemptId, String askedUnder) implements StateCommand {

		public BeginCall {
			Objects.requireNonNull(key, "key");
			Objects.requireNonNull(bodyDigest, "bodyDigest");
			Objects.requireNonNull(routerId, "routerId");
			attemptId = (attemptId != null) ? attemptId : "";
			askedUnder = (askedUnder != null) ? askedUnder : "";
		}

		/**
		 * Creates a command without an attempt id for a team that was never transferred.
		 * @param key the key of the call
		 * @param bodyDigest the SHA-256 over method, path and body in hexadecimal
		 * @param service the service that is called
		 * @param routerId the host id of the dispatching router
		 * @param deadlineMs the time in milliseconds since the epoch after which the call
		 * counts as unknown unless it has completed
		 * @param nowMs the leader's wall-clock time in milliseconds since the epoch
		 */
		public BeginCall(CallKey key, String bodyDigest, String service, String routerId, long deadlineMs, long nowMs) {
			this(key, bodyDigest, service, routerId, deadlineMs, nowMs, "", "");
		}

	}

	/**
	 * Looks up the record of a call without creating one. Answered by a
	 * {@link CallOutcome}, or by {@link StateOutcome.Done} if there is no record. It is a
	 * command rather than a read, so that the log orders it after every earlier grant.
	 *
	 * @param key the key of the call
	 * @param bodyDigest the SHA-256 over method, path and body in hexadecimal
	 * @param nowMs the leader's wall-clock time in milliseconds since the epoch
	 */
	record LookupCall(CallKey key, String bodyDigest, long nowMs) implements StateCommand {

		public LookupCall {
			Objects.requireNonNull(key, "key");
			Objects.requireNonNull(bodyDigest, "bodyDigest");
		}

	}

	/**
	 * Records the answer of a call.
	 *
	 * @param key the key of the call
	 * @param fencingNumber the fencing number that the call was granted
	 * @param answer the answer
	 * @param nowMs the leader's wall-clock time in milliseconds since the epoch
	 */
	record CompleteCall(CallKey key, long fencingNumber, StoredAnswer answer, long nowMs) implements StateCommand {

		public CompleteCall {
			Objects.requireNonNull(key, "key");
			Objects.requireNonNull(answer, "answer");
		}

	}

	/**
	 * Records that a call provably was not run, so that the key can be granted again.
	 *
	 * @param key the key of the call
	 * @param fencingNumber the fencing number that the call was granted
	 * @param nowMs the leader's wall-clock time in milliseconds since the epoch
	 */
	record MarkNotRun(CallKey key, long fencingNumber, long nowMs) implements StateCommand {

		public MarkNotRun {
			Objects.requireNonNull(key, "key");
		}

	}

	/**
	 * Records that the outcome of a call is unknown. It is never run again.
	 *
	 * @param key the key of the call
	 * @param fencingNumber the fencing number that the call was granted
	 * @param nowMs the leader's wall-clock time in milliseconds since the epoch
	 */
	record MarkUnknown(CallKey key, long fencingNumber, long nowMs) implements StateCommand {

		public MarkUnknown {
			Objects.requireNonNull(key, "key");
		}

	}

	/**
	 * Acquires or extends the lease that allows a router to send orders to a model
	 * server. Answered by a {@link StateOutcome.LeaseGranted}, a
	 * {@link StateOutcome.LeaseHeld}, or a {@link StateOutcome.SubmissionRefused} with
	 * code NOT_OWNER if the share does not own the server.
	 *
	 * @param serverId the model server
	 * @param holder the host id of the router
	 * @param checksFencing whether the server rejects outdated fencing numbers
	 * @param leaseMs the length of the lease in milliseconds
	 * @param nowMs the leader's wall-clock time in milliseconds since the epoch
	 */
	record AcquireOrderLease(String serverId, String holder, boolean checksFencing, long leaseMs,
			long nowMs) implements StateCommand {

		public AcquireOrderLease {
			Objects.requireNonNull(serverId, "serverId");
			Objects.requireNonNull(holder, "holder");
		}

	}

	/**
	 * Passes the configuration of another share to the state machine, so that claims can
	 * be checked against it. Created by {@link ShareStateMachine#observation()} of the
	 * other share.
	 *
	 * @param configJson the canonical JSON of the other share's accepted configuration
	 * @param releaseEpochs the epochs of the items that it releases; items without an
	 * entry have epoch 0
	 */
	record ObserveShare(byte[] configJson, List<ItemEpoch> releaseEpochs) implements StateCommand {

		public ObserveShare {
			releaseEpochs = (releaseEpochs != null) ? List.copyOf(releaseEpochs) : List.of();
		}

		/**
		 * Creates an observation of a share whose items were never transferred before.
		 * @param configJson the canonical JSON of the configuration
		 */
		public ObserveShare(byte[] configJson) {
			this(configJson, List.of());
		}

	}

	/**
	 * How often an item had been transferred when its owner released it. A claim
	 * increments the epoch, which distinguishes a new release from one that was claimed
	 * before.
	 *
	 * @param item the item
	 * @param epoch the number of transfers, 0 at the share that listed the item first
	 */
	record ItemEpoch(ItemId item, long epoch) {
	}

}
