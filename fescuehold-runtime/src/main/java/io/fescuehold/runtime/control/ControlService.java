package io.fescuehold.runtime.control;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import com.google.common.flogger.FluentLogger;
import io.fescuehold.config.ConfigException;
import io.fescuehold.config.ConfigJson;
import io.fescuehold.config.ShareConfig;
import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.port.FleetViews;
import io.fescuehold.core.port.PeerTransport;
import io.fescuehold.core.port.ReplicaGroup;
import io.fescuehold.core.port.StateCodec;
import io.fescuehold.core.port.StateDump;
import io.fescuehold.core.state.ShareDelta;
import io.fescuehold.core.state.ShareStateMachine;
import io.fescuehold.core.state.StateCommand;
import io.fescuehold.core.state.StateOutcome;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Handles requests to the replicas on this host. The time of each command is set to the
 * leader's time before the command is proposed.
 */
public final class ControlService implements StateDump {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final int OBSERVE_INTERVAL_MS = 1_000;

	private static final Duration OBSERVE_TIMEOUT = Duration.ofMillis(1_000);

	private final String hostId;

	private final PeerTransport transport;

	private final Function<String, List<String>> replicas;

	private final StateCodec codec;

	private final Scheduler scheduler;

	private final FleetViews views;

	private final Map<String, LocalReplica> localReplicas = new ConcurrentHashMap<>();

	private final Set<String> pendingObservations = ConcurrentHashMap.newKeySet();

	private final Disposable.Composite tasks = Disposables.composite();

	/**
	 * Creates the service and registers its handlers.
	 * @param hostId the host id of this daemon
	 * @param transport receives the requests
	 * @param replicas returns the host ids of a share's replicas
	 * @param codec encodes commands and decodes outcomes
	 * @param views the configurations of the other shares, for {@code ObserveShare}
	 * @param scheduler provides the wall-clock time and runs the check for changed shares
	 */
	public ControlService(String hostId, PeerTransport transport, Function<String, List<String>> replicas,
			StateCodec codec, FleetViews views, Scheduler scheduler) {
		this.hostId = hostId;
		this.transport = transport;
		this.replicas = replicas;
		this.codec = codec;
		this.views = views;
		this.scheduler = scheduler;
		transport.onMessage(ControlMessage.Apply.class, (from, request) -> apply(request));
		transport.onMessage(ControlMessage.ReadShare.class, (from, request) -> read(request));
		transport.onMessage(ControlMessage.DryRun.class, (from, request) -> dryRun(request));
		transport.onMessage(ControlMessage.ChangeMembership.class, (from, request) -> change(request));
		transport.onMessage(ControlMessage.ReadGroup.class, (from, request) -> status(request));
		transport.onMessage(ControlMessage.ReadObservation.class, (from, request) -> readObservation(request));
	}

	/**
	 * Adds a replica of this host.
	 * @param machine the state machine of the share
	 * @param group the replica that applies committed commands to it
	 * @param membership changes the members of the group
	 */
	public void host(ShareStateMachine machine, ReplicaGroup group, MembershipOperations membership) {
		this.localReplicas.put(machine.share(), new LocalReplica(machine, group, membership));
	}

	/** Starts to propagate changes of other shares to the shares on this host. */
	public void start() {
		this.tasks.add(this.views.changes().publishOn(this.scheduler).subscribe((view) -> observeOtherShares()));
		// Leadership may move to this host without a configuration change.
		this.tasks.add(this.scheduler.schedulePeriodically(this::observeOtherShares, OBSERVE_INTERVAL_MS,
				OBSERVE_INTERVAL_MS, TimeUnit.MILLISECONDS));
	}

	/** Stops the propagation of changes of other shares. */
	public void stop() {
		this.tasks.dispose();
	}

	private void observeOtherShares() {
		for (LocalReplica replica : this.localReplicas.values()) {
			if (!this.hostId.equals(replica.group().leaderHostId())) {
				continue;
			}
			for (ShareConfig other : this.views.current().shares().values()) {
				boolean isNewer = !other.share().equals(replica.machine().share())
						&& other.number() > replica.machine().observedNumber(other.share());
				if (isNewer) {
					observe(replica, other);
				}
			}
		}
	}

	private void observe(LocalReplica replica, ShareConfig other) {
		String key = replica.machine().share() + " " + other.share();
		if (!this.pendingObservations.add(key)) {
			return;
		}
		requestObservation(replica, other.share())
			.flatMap((command) -> replica.group().propose(this.codec.encodeCommand(command)))
			.doFinally((signal) -> this.pendingObservations.remove(key))
			.subscribe((outcome) -> {
			}, (error) -> logger.atFine()
				.withCause(error)
				.log("Notifying share %s of number %d of share %s failed", replica.machine().share(), other.number(),
						other.share()));
	}

	// The configuration alone does not distinguish a new release from one that was
	// already
	// claimed, so the observation is requested from a replica of the other share.
	private Mono<StateCommand> requestObservation(LocalReplica replica, String otherShare) {
		long known = replica.machine().observedNumber(otherShare);
		return Flux.fromIterable(this.replicas.apply(otherShare))
			.concatMap((host) -> this.transport
				.request(host, new ControlMessage.ReadObservation(otherShare), OBSERVE_TIMEOUT)
				.cast(ControlMessage.Observation.class)
				.map((reply) -> (StateCommand) reply.command())
				.filter((command) -> numberOf(command) > known)
				.onErrorResume((error) -> Mono.empty()))
			.next();
	}

	private static long numberOf(StateCommand command) {
		return (command instanceof StateCommand.ObserveShare observe) ? ConfigJson.read(observe.configJson()).number()
				: -1;
	}

	private Mono<ControlMessage> readObservation(ControlMessage.ReadObservation request) {
		LocalReplica replica = this.localReplicas.get(request.share());
		if (replica == null) {
			return Mono.error(new FescueholdException(ErrorCode.NOT_FOUND, "replica of share " + request.share()));
		}
		return Mono.just(new ControlMessage.Observation(replica.machine().observation()));
	}

	private Mono<ControlMessage> apply(ControlMessage.Apply request) {
		return atLeader(request.share(), (replica) -> {
			StateCommand command = request.command().withTime(this.scheduler.now(TimeUnit.MILLISECONDS));
			return replica.group()
				.propose(this.codec.encodeCommand(command))
				.map((outcome) -> new ControlMessage.Applied(this.codec.decodeOutcome(outcome)));
		});
	}

	private Mono<ControlMessage> read(ControlMessage.ReadShare request) {
		return atLeader(request.share(), (replica) -> replica.group().readBarrier().then(Mono.fromSupplier(() -> {
			ShareConfig config = replica.machine().config();
			return new ControlMessage.ShareRead(ConfigJson.canonicalBytes(config), ConfigJson.digest(config),
					this.hostId);
		})));
	}

	private Mono<ControlMessage> dryRun(ControlMessage.DryRun request) {
		return atLeader(request.share(),
				(replica) -> replica.group()
					.readBarrier()
					.then(Mono.fromSupplier(() -> dryRun(replica.machine(), request.configJson()))));
	}

	private ControlMessage dryRun(ShareStateMachine machine, byte[] configJson) {
		try {
			ShareConfig config = ConfigJson.read(configJson);
			Optional<StateOutcome> refusal = machine.dryRun(config, this.scheduler.now(TimeUnit.MILLISECONDS));
			return new ControlMessage.DryRunResult(refusal.orElse(null), ShareDelta.between(machine.config(), config));
		}
		catch (ConfigException ex) {
			String message = ex.getMessage().substring(ex.pointer().length() + ": ".length());
			return new ControlMessage.DryRunResult(
					new StateOutcome.SubmissionRefused(ErrorCode.SUBMISSION_INVALID.name(), ex.pointer(), message),
					null);
		}
	}

	private Mono<ControlMessage> change(ControlMessage.ChangeMembership request) {
		return atLeader(request.change().share(),
				(replica) -> replica.membership().change(request.change()).map(ControlMessage.MembershipChanged::new));
	}

	private Mono<ControlMessage> status(ControlMessage.ReadGroup request) {
		LocalReplica replica = this.localReplicas.get(request.share());
		if (replica == null) {
			return Mono.error(new FescueholdException(ErrorCode.NOT_FOUND, "replica of share " + request.share()));
		}
		return Mono.just(new ControlMessage.GroupStatus(replica.group().leaderHostId(),
				replica.machine().config().number(), replica.membership().members()));
	}

	private Mono<ControlMessage> atLeader(String share, LeaderTask task) {
		LocalReplica replica = this.localReplicas.get(share);
		if (replica == null) {
			return Mono.just(new ControlMessage.Redirect(null));
		}
		String leader = replica.group().leaderHostId();
		if (leader != null && !leader.equals(this.hostId)) {
			return Mono.just(new ControlMessage.Redirect(leader));
		}
		return Mono.<ControlMessage>defer(() -> task.run(replica))
			.onErrorResume(ControlService::isNotLeader, (error) -> Mono.just(redirect(replica.group())));
	}

	private static boolean isNotLeader(Throwable error) {
		return error instanceof FescueholdException expected && expected.code() == ErrorCode.NOT_LEADER;
	}

	private ControlMessage redirect(ReplicaGroup group) {
		String leader = group.leaderHostId();
		return new ControlMessage.Redirect(this.hostId.equals(leader) ? null : leader);
	}

	@Override
	public String dumpName() {
		return "control";
	}

	@Override
	public Object dump() {
		Map<String, Object> dump = new TreeMap<>();
		this.localReplicas.forEach((share, replica) -> {
			Map<String, Object> entry = new TreeMap<>();
			entry.put("number", replica.machine().config().number());
			entry.put("leader", String.valueOf(replica.group().leaderHostId()));
			entry.put("members", replica.membership().members());
			dump.put(share, entry);
		});
		return dump;
	}

	/** An operation that requires the leader of a group. */
	@FunctionalInterface
	private interface LeaderTask {

		Mono<? extends ControlMessage> run(LocalReplica replica);

	}

	/**
	 * A replica of this host.
	 *
	 * @param machine the state machine
	 * @param group the replica that applies committed commands to it
	 * @param membership changes the members of the group
	 */
	private record LocalReplica(ShareStateMachine machine, ReplicaGroup group, MembershipOperations membership) {

	}

}
