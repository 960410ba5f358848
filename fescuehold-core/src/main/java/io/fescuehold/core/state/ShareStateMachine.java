package io.fescuehold.core.state;

import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.fescuehold.config.ConfigException;
import io.fescuehold.config.ConfigJson;
import io.fescuehold.config.ItemKind;
import io.fescuehold.config.ShareConfig;
import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.port.ReplicatedStateMachine;
import io.fescuehold.core.port.StateCodec;
import io.fescuehold.core.view.FleetView;

/**
 * The replicated state of one share: its configuration, the records of its non-idempotent
 * calls and its order leases. Time is taken only from the commands and is monotonic, so
 * that every replica reaches the same state.
 */
public final class ShareStateMachine implements ReplicatedStateMachine {

	private final String share;

	private final StateCodec codec;

	private final Consumer<ShareConfig> onConfig;

	private final SubmissionLog submissions = new SubmissionLog();

	private final CallRecords calls = new CallRecords();

	private final OrderLeases leases = new OrderLeases();

	private long nowMs;

	private volatile PublishedState published;

	/**
	 * Creates the state machine of a share without submissions.
	 * @param share the name of the share
	 * @param codec encodes and decodes commands, outcomes and snapshots
	 * @param onConfig receives each configuration that comes into force, including the
	 * initial empty one and the one in a restored snapshot; called by the thread that
	 * applies commands
	 */
	public ShareStateMachine(String share, StateCodec codec, Consumer<ShareConfig> onConfig) {
		this.share = share;
		this.codec = codec;
		this.onConfig = onConfig;
		publish(ShareConfig.empty(share), new TreeMap<>(), Transfers.NONE);
	}

	@Override
	public byte[] apply(long index, byte[] command) {
		return this.codec.encodeOutcome(apply(index, this.codec.decodeCommand(command)));
	}

	/**
	 * Applies a committed command.
	 * @param index the log index, which increases with every command
	 * @param command the command
	 * @return the outcome
	 */
	public CommandOutcome apply(long index, StateCommand command) {
		return switch (command) {
			case StateCommand.Submit submit -> submit(submit);
			case StateCommand.BeginCall begin -> begin(index, begin);
			case StateCommand.LookupCall lookup -> lookup(lookup);
			case StateCommand.CompleteCall complete -> {
				advanceTime(complete.nowMs());
				this.calls.complete(complete, config().policy(), this.nowMs);
				yield new StateOutcome.Done();
			}
			case StateCommand.MarkNotRun mark -> {
				advanceTime(mark.nowMs());
				this.calls.markNotRun(mark);
				yield new StateOutcome.Done();
			}
			case StateCommand.MarkUnknown mark -> {
				advanceTime(mark.nowMs());
				this.calls.markUnknown(mark, config().policy(), this.nowMs);
				yield new StateOutcome.Done();
			}
			case StateCommand.AcquireOrderLease acquire -> acquire(acquire);
			case StateCommand.ObserveShare observe -> observe(observe);
		};
	}

	private void advanceTime(long commandTimeMs) {
		this.nowMs = Math.max(this.nowMs, commandTimeMs);
		this.calls.expire(this.nowMs);
		this.leases.expire(this.nowMs);
	}

	private CommandOutcome submit(StateCommand.Submit command) {
		advanceTime(command.nowMs());
		ShareConfig config;
		try {
			config = ConfigJson.read(command.configJson());
		}
		catch (ConfigException ex) {
			return refused(ex.pointer(), ex.getMessage().substring(ex.pointer().length() + ": ".length()));
		}
		String digest = ConfigJson.digest(config);
		if (config.share().equals(this.share)) {
			Optional<StateOutcome> answer = this.submissions.outcomeUnlessNext(config.number(), digest);
			if (answer.isPresent()) {
				return answer.get();
			}
		}
		Optional<StateOutcome> refusal = check(config, this.nowMs);
		if (refusal.isPresent()) {
			return refusal.get();
		}
		publish(config, this.published.observed(),
				this.published.transfers().accept(config(), config, this.published.observed(), this.nowMs));
		return this.submissions.accept(new AcceptedSubmission(config.number(), digest, command.operator(), this.nowMs));
	}

	private Optional<StateOutcome> check(ShareConfig config, long atMs) {
		PublishedState state = this.published;
		return new ShareValidator(state.config(), state.observed(), state.transfers(), atMs).check(config)
			.map((violation) -> refused(violation.pointer(), violation.message()));
	}

	/**
	 * Checks a configuration without submitting it. May be called by any thread.
	 * @param config the configuration
	 * @param atMs the time in milliseconds since the epoch
	 * @return the refusal that a submission would receive, or empty if it would be
	 * accepted now
	 */
	public Optional<StateOutcome> dryRun(ShareConfig config, long atMs) {
		long next = config().number() + 1;
		if (config.share().equals(this.share) && config.number() != next) {
			ErrorCode code = ErrorCode.SUBMISSION_NUMBER;
			return Optional
				.of(new StateOutcome.SubmissionRefused(code.name(), "/number", code.message(config.number(), next)));
		}
		return check(config, atMs);
	}

	private static StateOutcome refused(String pointer, String message) {
		return new StateOutcome.SubmissionRefused(ErrorCode.SUBMISSION_INVALID.name(), pointer, message);
	}

	private CommandOutcome begin(long index, StateCommand.BeginCall command) {
		advanceTime(command.nowMs());
		String transferId = StateCommand.transferIdOf(config(), command.key().team());
		boolean knowsTransfer = transferId.isEmpty() || transferId.equals(command.askedUnder());
		if (!knowsTransfer || !owns(ItemKind.TEAM, command.key().team())) {
			return new CallOutcome.NotOwner();
		}
		return this.calls.begin(index, command, config().policy(), this.nowMs);
	}

	private CommandOutcome lookup(StateCommand.LookupCall command) {
		advanceTime(command.nowMs());
		CallOutcome outcome = this.calls.lookup(command.key(), command.bodyDigest(), this.nowMs);
		return (outcome != null) ? outcome : new StateOutcome.Done();
	}

	private CommandOutcome acquire(StateCommand.AcquireOrderLease command) {
		advanceTime(command.nowMs());
		String serverId = command.serverId();
		if (!owns(ItemKind.MODEL_SERVER, serverId)) {
			return new StateOutcome.SubmissionRefused(ErrorCode.NOT_OWNER.name(), "/serverId",
					"is \"" + serverId + "\", which share \"" + this.share + "\" does not own; ask the owning share");
		}
		boolean checksFencing = command.checksFencing() && config().modelServers().get(serverId).checksFencing();
		long claimedAtMs = this.published.transfers().claimedAtMs(new ItemId(ItemKind.MODEL_SERVER, serverId));
		return this.leases.acquire(command, checksFencing, claimedAtMs, this.nowMs);
	}

	private CommandOutcome observe(StateCommand.ObserveShare command) {
		ObservedShare other;
		try {
			other = ObservedShare.of(command);
		}
		catch (ConfigException ex) {
			return refused(ex.pointer(), ex.getMessage().substring(ex.pointer().length() + ": ".length()));
		}
		String otherShare = other.config().share();
		if (!otherShare.equals(this.share) && observedNumber(otherShare) < other.config().number()) {
			SortedMap<String, ObservedShare> observed = new TreeMap<>(this.published.observed());
			observed.put(otherShare, other);
			publish(config(), observed, this.published.transfers());
		}
		return new StateOutcome.Done();
	}

	private void publish(ShareConfig config, SortedMap<String, ObservedShare> observed, Transfers transfers) {
		FleetView view = FleetView.EMPTY.with(config);
		for (ObservedShare other : observed.values()) {
			view = view.with(other.config());
		}
		boolean changed = this.published == null || this.published.config() != config;
		this.published = new PublishedState(config, observed, transfers, view);
		if (changed) {
			this.onConfig.accept(config);
		}
	}

	@Override
	public byte[] snapshot() {
		return captureSnapshot().get();
	}

	@Override
	public Supplier<byte[]> captureSnapshot() {
		List<StateCommand.ObserveShare> observed = this.published.observed()
			.values()
			.stream()
			.map(ObservedShare::command)
			.toList();
		StateSnapshot state = new StateSnapshot(this.nowMs, ConfigJson.canonicalBytes(config()), observed,
				this.submissions.entries(), this.calls.entries(), this.leases.entries(),
				this.leases.lastFencingNumber(), this.published.transfers().entries());
		return () -> this.codec.encodeSnapshot(state);
	}

	@Override
	public void restore(byte[] snapshot) {
		StateSnapshot state = this.codec.decodeSnapshot(snapshot);
		this.nowMs = state.nowMs();
		this.submissions.restore(state.submissions());
		this.calls.restore(state.calls());
		this.leases.restore(state.leases(), state.lastLeaseNumber());
		SortedMap<String, ObservedShare> observed = new TreeMap<>();
		for (StateCommand.ObserveShare command : state.observed()) {
			ObservedShare other = ObservedShare.of(command);
			observed.put(other.config().share(), other);
		}
		publish(ConfigJson.read(state.configJson()), observed, Transfers.of(state.transfers()));
	}

	/**
	 * Returns the name of the share.
	 * @return the name
	 */
	public String share() {
		return this.share;
	}

	/**
	 * Returns the configuration in force. May be called by any thread.
	 * @return the configuration, with number 0 before the first submission
	 */
	public ShareConfig config() {
		return this.published.config();
	}

	/**
	 * Returns the configuration number at which another share was last observed. May be
	 * called by any thread.
	 * @param otherShare the name of the other share
	 * @return the number, or -1 if the share has not been observed
	 */
	public long observedNumber(String otherShare) {
		ObservedShare other = this.published.observed().get(otherShare);
		return (other != null) ? other.config().number() : -1;
	}

	/**
	 * Returns the current configuration and release epochs of this share for the state
	 * machines of other shares. May be called by any thread.
	 * @return the command for the other state machines
	 */
	public StateCommand.ObserveShare observation() {
		PublishedState state = this.published;
		List<StateCommand.ItemEpoch> epochs = state.config()
			.releases()
			.stream()
			.map((release) -> new ItemId(release.kind(), release.id()))
			.map((item) -> new StateCommand.ItemEpoch(item, state.transfers().epoch(item)))
			.toList();
		return new StateCommand.ObserveShare(ConfigJson.canonicalBytes(state.config()), epochs);
	}

	/**
	 * Tells whether the share owns an item. May be called by any thread.
	 * @param kind the kind of the item
	 * @param id the id of the item
	 * @return whether the share lists the item, has not released it and any claim on it
	 * is effective
	 */
	public boolean owns(ItemKind kind, String id) {
		FleetView view = this.published.view();
		FleetView.Owned<?> owned = switch (kind) {
			case TEAM -> view.teams().get(id);
			case MODEL_SERVER -> view.modelServers().get(id);
			case SERVICE -> view.services().get(id);
		};
		return owned != null && owned.share().equals(this.share);
	}

	/**
	 * The immutable part of the state that other threads may read.
	 *
	 * @param config the configuration in force
	 * @param observed the observed other shares by name
	 * @param transfers the items that the share has released and claimed
	 * @param view the ownership of items that follows from the configurations
	 */
	private record PublishedState(ShareConfig config, SortedMap<String, ObservedShare> observed, Transfers transfers,
			FleetView view) {

	}

}
