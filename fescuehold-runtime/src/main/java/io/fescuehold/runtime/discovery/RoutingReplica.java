package io.fescuehold.runtime.discovery;

import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.fescuehold.core.agreement.MembershipChange;
import io.fescuehold.core.agreement.Role;
import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.evacuation.Evacuations;
import io.fescuehold.core.membership.HostRecord;
import io.fescuehold.core.membership.VoterPlan;
import io.fescuehold.core.routes.EvacuationCommand;
import io.fescuehold.core.routes.RoutingDocument;
import io.fescuehold.core.routes.RoutingState;
import io.fescuehold.core.routes.SubmissionOutcome;
import io.fescuehold.runtime.replica.AgreementTransport;
import io.fescuehold.runtime.replica.ReplicaOptions;
import io.fescuehold.runtime.replica.ReplicaRuntime;
import io.fescuehold.runtime.replica.ReplicaStatus;
import io.fescuehold.runtime.storage.DiskStorage;
import io.fescuehold.runtime.storage.DurableFile;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Replica of the routing configuration on a host with a disk. On the first start of a
 * fleet it waits for the list of hosts that form the agreement group; a host that starts
 * later waits until the leader adds it as a voter.
 */
final class RoutingReplica {

	/** The name of the agreement group, also used for its folder. */
	static final String GROUP = "routes";

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final String FORMATION_FILE = "initial-hosts";

	private static final long MIN_RESTART_DELAY_MS = 100;

	private static final long MAX_RESTART_DELAY_MS = 2_000;

	private final FleetOptions options;

	private final AgreementTransport transport;

	private final Scheduler scheduler;

	private final MetricRegistry metrics;

	private final RoutingState state;

	private final VoterPlan voterPlan;

	private final long seed;

	private final DurableFile formation;

	private volatile ReplicaRuntime replica;

	private List<String> initialHostIds = List.of();

	private String pendingRequestId;

	private long replicaStartedAtMs;

	private long restartDelayMs = MIN_RESTART_DELAY_MS;

	private int restarts;

	/** Whether this process has opened the store before. */
	private boolean storeExisted;

	private volatile boolean stopped;

	RoutingReplica(FleetOptions options, AgreementTransport transport, Scheduler scheduler, MetricRegistry metrics,
			Consumer<RoutingDocument> listener, Consumer<Evacuations> evacuationListener, long seed) {
		this.options = options;
		this.transport = transport;
		this.scheduler = scheduler;
		this.metrics = metrics;
		this.state = new RoutingState(listener, evacuationListener);
		this.voterPlan = new VoterPlan(options.losses(), options.timing().absenceMs());
		this.seed = seed;
		this.formation = new DurableFile(options.dataFolder().resolve(FORMATION_FILE));
	}

	/**
	 * Starts the replica unless the group may still have to be formed.
	 */
	void start() {
		try {
			if (this.formation.exists()) {
				open(this.formation.read());
			}
			else if (!this.options.firstStart() && !mayNeedToFormGroup()) {
				open(List.of());
			}
		}
		catch (UncheckedIOException ex) {
			throw new FescueholdException(ErrorCode.STORAGE_FAILED, this.options.dataFolder().resolve(FORMATION_FILE),
					ex.getCause().getMessage());
		}
	}

	// The first seed may have failed before it formed the group. If a group exists after
	// all, this host opens as a standby once the leader has answered it.
	private boolean mayNeedToFormGroup() {
		return this.options.isFirstSeed()
				&& !Files.exists(ReplicaOptions.storeFolder(this.options.dataFolder(), GROUP));
	}

	/**
	 * Forms the group with other hosts, unless the replica is open already. The list of
	 * hosts is written to disk first.
	 * @param hostIds the hosts that form the group
	 */
	void formGroup(List<String> hostIds) {
		if (this.replica != null) {
			return;
		}
		this.formation.replace(hostIds);
		open(hostIds);
	}

	/**
	 * Opens the replica of a host that is not an initial member of the group, so that it
	 * can become a voter later. A disk that is full is tried again at the next call.
	 */
	void openAsStandby() {
		if (this.replica != null) {
			return;
		}
		try {
			formGroup(List.of());
		}
		catch (UncheckedIOException ex) {
			logger.atWarning()
				.atMostEvery(1, TimeUnit.SECONDS)
				.withCause(ex)
				.log("The replica cannot be opened, because %s cannot be written", FORMATION_FILE);
		}
	}

	boolean isOpen() {
		return this.replica != null;
	}

	/**
	 * Returns the initial hosts of the group.
	 * @return the host ids, empty if this host was not told to form a group
	 */
	List<String> initialHostIds() {
		return this.initialHostIds;
	}

	private void open(List<String> initialHostIds) {
		this.initialHostIds = initialHostIds;
		startReplica(this.options.startedAtMs());
	}

	private void startReplica(long silentSinceMs) {
		ReplicaOptions replicaOptions = new ReplicaOptions(GROUP, this.options.hostId(), this.options.dataFolder(),
				this.initialHostIds, Map.of(this.options.hostId(), this.options.failureDomain()),
				FleetOptions.AGREEMENT, silentSinceMs);
		ReplicaRuntime started = new ReplicaRuntime(replicaOptions, this.transport, this.state, this.scheduler,
				this.metrics, this.seed + this.restarts);
		this.replica = started;
		this.replicaStartedAtMs = nowMs();
		started.failure().subscribe((error) -> this.scheduler.schedule(() -> onReplicaFailed(started, error)));
		started.start().subscribe((done) -> {
		}, (error) -> this.scheduler.schedule(() -> onReplicaFailed(started, error)));
	}

	private void onReplicaFailed(ReplicaRuntime failed, Throwable error) {
		if (this.stopped || this.replica != failed) {
			return;
		}
		this.storeExisted |= failed.status().storeId() != null;
		if (error instanceof FescueholdException refusal && refusal.code() == ErrorCode.STORAGE_DAMAGED) {
			logger.atSevere()
				.withCause(error)
				.log("The replica is not restarted, because its store is damaged; replace this host");
			return;
		}
		boolean ranForLong = nowMs() - this.replicaStartedAtMs > MAX_RESTART_DELAY_MS;
		this.restartDelayMs = ranForLong ? MIN_RESTART_DELAY_MS
				: Math.min(2 * this.restartDelayMs, MAX_RESTART_DELAY_MS);
		long delayMs = this.restartDelayMs / 2 + ThreadLocalRandom.current().nextLong(this.restartDelayMs / 2);
		logger.atSevere().withCause(error).log("The replica has failed; it is restarted in %d ms", delayMs);
		failed.stop().subscribe((done) -> {
		}, (ex) -> logger.atSevere().withCause(ex).log("The failed replica could not be closed"),
				() -> this.scheduler.schedule(() -> restart(failed), delayMs, TimeUnit.MILLISECONDS));
	}

	// A store that is missing would be created empty, and the host would count as one
	// that has lost its disk.
	private void restart(ReplicaRuntime failed) {
		if (this.stopped || this.replica != failed) {
			return;
		}
		if (this.storeExisted && !DiskStorage.exists(ReplicaOptions.storeFolder(this.options.dataFolder(), GROUP))) {
			logger.atWarning()
				.atMostEvery(1, TimeUnit.SECONDS)
				.log("The replica is not restarted yet, because its store in \"%s\" is missing",
						this.options.dataFolder());
			this.scheduler.schedule(() -> restart(failed), MAX_RESTART_DELAY_MS, TimeUnit.MILLISECONDS);
			return;
		}
		this.restarts++;
		logger.atInfo().log("Restarting the replica, restart %d of this process", this.restarts);
		// The failed replica may have acknowledged a lease just before.
		startReplica(ReplicaOptions.REPLICA_START_MS);
	}

	private long nowMs() {
		return this.scheduler.now(TimeUnit.MILLISECONDS);
	}

	/**
	 * Returns the id of the store. There is none while the store is being opened: a
	 * made-up id would be taken as a sign that the disk was lost.
	 * @return the id, {@link HostRecord#UNFORMED} while the replica is not open, or null
	 * while the store is being opened or the replica has stopped
	 */
	String storeId() {
		if (this.replica == null) {
			return HostRecord.UNFORMED;
		}
		ReplicaStatus status = this.replica.status();
		return (status.phase() != ReplicaStatus.Phase.STOPPED) ? status.storeId() : null;
	}

	boolean isLeading() {
		return this.replica != null && this.replica.status().role() == Role.LEADER;
	}

	String leaderHostId() {
		return (this.replica != null) ? this.replica.leaderHostId() : null;
	}

	/**
	 * Describes the leader in error texts.
	 * @return the host id of the leader, or "unknown" followed by the reason
	 */
	String describeLeader() {
		return (this.replica != null) ? this.replica.status().describeLeader()
				: "unknown, and this replica belongs to no group yet";
	}

	RoutingDocument current() {
		return this.state.current();
	}

	Evacuations evacuations() {
		return this.state.evacuations();
	}

	Mono<Void> readBarrier() {
		return (this.replica != null) ? this.replica.readBarrier()
				: Mono.error(new FescueholdException(ErrorCode.NOT_LEADER, describeLeader()));
	}

	/**
	 * Submits a configuration. It is only appended to the log if it may take effect.
	 * @param document the configuration
	 * @return the outcome; errors if this replica does not lead or the log fails
	 */
	Mono<SubmissionOutcome> submit(RoutingDocument document) {
		return readBarrier().then(Mono.defer(() -> {
			SubmissionOutcome predicted = this.state.outcomeOf(document);
			if (predicted != SubmissionOutcome.ACCEPTED) {
				return Mono.just(predicted);
			}
			return this.replica.propose(document.encode()).map(RoutingState::outcome);
		})).doOnError(this::yieldIfStorageFull);
	}

	/**
	 * Submits an order to evacuate a failure domain. It is only appended to the log if it
	 * changes something.
	 * @param command the order
	 * @return the outcome; errors if this replica does not lead or the log fails
	 */
	Mono<SubmissionOutcome> evacuate(EvacuationCommand command) {
		return readBarrier().then(Mono.defer(() -> {
			SubmissionOutcome predicted = this.state.outcomeOf(command);
			return (predicted != SubmissionOutcome.ACCEPTED) ? Mono.just(predicted)
					: this.replica.propose(command.encode()).map(RoutingState::outcome);
		})).doOnError(this::yieldIfStorageFull);
	}

	private void yieldIfStorageFull(Throwable error) {
		if (error instanceof FescueholdException refusal && refusal.code() == ErrorCode.STORAGE_FULL) {
			logger.atWarning().log("The disk is full; transferring leadership to another replica");
			yieldLeadership();
		}
	}

	void yieldLeadership() {
		if (this.replica != null) {
			this.replica.handOver().subscribe();
		}
	}

	/**
	 * Starts the next change of the voters that the live hosts require, if this replica
	 * leads.
	 * @param live the live hosts
	 * @param nowMs the current time in milliseconds
	 */
	void reconcileVoters(List<HostRecord> live, long nowMs) {
		if (!isLeading()) {
			this.pendingRequestId = null;
			return;
		}
		ReplicaStatus status = this.replica.status();
		List<VoterPlan.Voter> voters = status.members()
			.stream()
			.filter(ReplicaStatus.MemberStatus::voter)
			.map((member) -> new VoterPlan.Voter(member.hostId(), member.storeId(), member.failureDomain()))
			.toList();
		MembershipChange change = this.voterPlan.next(voters, live, nowMs);
		if (change == null || change.requestId().equals(this.pendingRequestId)) {
			return;
		}
		this.pendingRequestId = change.requestId();
		logger.atInfo().log("Starting voter change: %s", change);
		this.replica.change(change).subscribe((done) -> {
		}, (error) -> {
			logger.atWarning().log("Voter change failed: %s", error.getMessage());
			clearPendingChange(change);
		}, () -> {
			logger.atInfo().log("Voter change completed: %s", change.requestId());
			clearPendingChange(change);
		});
	}

	private void clearPendingChange(MembershipChange change) {
		if (change.requestId().equals(this.pendingRequestId)) {
			this.pendingRequestId = null;
		}
	}

	Object dump() {
		return (this.replica != null) ? this.replica.status() : "not formed";
	}

	void stop() {
		this.stopped = true;
		if (this.replica != null) {
			this.replica.stop().block(Duration.ofSeconds(2));
		}
	}

}
