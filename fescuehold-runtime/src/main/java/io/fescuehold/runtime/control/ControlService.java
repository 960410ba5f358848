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
 * Answers requests to the replicas on this host. Commands receive the leader's time
 * before they are proposed.
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

	private final Map<String, Hosted> hostedByShare = new ConcurrentHashMap<>();

	private final Set<String> observing = ConcurrentHashMap.newKeySet();

	private final Disposable.Composite tasks = Disposables.composite();

	/**
	 * Creates the service and registers its handlers.
	 * @param hostId the host id of this daemon
	 * @param transport receives the requests
	 * @param replicas returns the host ids of a share's replicas
	 * @param codec writes commands and reads outcomes
	 * @param views the configurations of the other shares, for {@code ObserveShare}
	 * @param scheduler gives the wall-clock time and runs the check for changed shares
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
		transport.onMessage(ControlMessage.ReadObservation.class, (from, request) -> observation(request));
	}

	/**
	 * Adds a replica of this host.
	 * @param machine the state machine of the share
	 * @param group the replica that drives it
	 * @param membership changes the members of the group
	 */
	public void host(ShareStateMachine machine, ReplicaGroup group, MembershipOperations membership) {
		this.hostedByShare.put(machine.share(), new Hosted(machine, group, membership));
	}

	/** Starts to tell the hosted shares about changes of other shares. */
	public void start() {
		this.tasks.add(this.views.changes().publishOn(this.scheduler).subscribe((view) -> observeOthers()));
		// The leader may have changed since the last change of a configuration.
		this.tasks.add(this.scheduler.schedulePeriodically(this::observeOthers, OBSERVE_INTERVAL_MS,
				OBSERVE_INTERVAL_MS, TimeUnit.MILLISECONDS));
	}

	/** Stops the check for changed shares. */
	public void stop() {
		this.tasks.dispose();
	}

	private void observeOthers() {
		for (Hosted hosted : this.hostedByShare.values()) {
			if (!this.hostId.equals(hosted.group().leaderHostId())) {
				continue;
			}
			for (ShareConfig other : this.views.current().shares().values()) {
				boolean news = !other.share().equals(hosted.machine().share())
						&& other.number() > hosted.machine().observedNumber(other.share());
				if (news) {
					observe(hosted, other);
				}
			}
		}
	}

	private void observe(Hosted hosted, ShareConfig other) {
		String task = hosted.machine().share() + " " + other.share();
		if (!this.observing.add(task)) {
			return;
		}
		observation(hosted, other.share())
			.flatMap((command) -> hosted.group().propose(this.codec.encodeCommand(command)))
			.doFinally((signal) -> this.observing.remove(task))
			.subscribe((outcome) -> {
			}, (error) -> logger.atFine()
				.withCause(error)
				.log("Share %s could not be told number %d of share %s", hosted.machine().share(), other.number(),
						other.share()));
	}

	// The configuration alone does not tell a new release from one that was claimed
	// before, so the observation comes from a replica of the other share.
	private Mono<StateCommand> observation(Hosted hosted, String otherShare) {
		long known = hosted.machine().observedNumber(otherShare);
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

	private Mono<ControlMessage> observation(ControlMessage.ReadObservation request) {
		Hosted hosted = this.hostedByShare.get(request.share());
		if (hosted == null) {
			return Mono.error(new FescueholdException(ErrorCode.NOT_FOUND, "replica of share " + request.share()));
		}
		return Mono.just(new ControlMessage.Observation(hosted.machine().observation()));
	}

	private Mono<ControlMessage> apply(ControlMessage.Apply request) {
		return atLeader(request.share(), (hosted) -> {
			StateCommand command = request.command().at(this.scheduler.now(TimeUnit.MILLISECONDS));
			return hosted.group()
				.propose(this.codec.encodeCommand(command))
				.map((outcome) -> new ControlMessage.Applied(this.codec.decodeOutcome(outcome)));
		});
	}

	private Mono<ControlMessage> read(ControlMessage.ReadShare request) {
		return atLeader(request.share(), (hosted) -> hosted.group().readBarrier().then(Mono.fromSupplier(() -> {
			ShareConfig config = hosted.machine().config();
			return new ControlMessage.ShareRead(ConfigJson.canonicalBytes(config), ConfigJson.digest(config),
					this.hostId);
		})));
	}

	private Mono<ControlMessage> dryRun(ControlMessage.DryRun request) {
		return atLeader(request.share(),
				(hosted) -> hosted.group()
					.readBarrier()
					.then(Mono.fromSupplier(() -> dryRun(hosted.machine(), request.configJson()))));
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
				(hosted) -> hosted.membership().change(request.change()).map(ControlMessage.MembershipChanged::new));
	}

	private Mono<ControlMessage> status(ControlMessage.ReadGroup request) {
		Hosted hosted = this.hostedByShare.get(request.share());
		if (hosted == null) {
			return Mono.error(new FescueholdException(ErrorCode.NOT_FOUND, "replica of share " + request.share()));
		}
		return Mono.just(new ControlMessage.GroupStatus(hosted.group().leaderHostId(),
				hosted.machine().config().number(), hosted.membership().members()));
	}

	private Mono<ControlMessage> atLeader(String share, LeaderTask task) {
		Hosted hosted = this.hostedByShare.get(share);
		if (hosted == null) {
			return Mono.just(new ControlMessage.Redirect(null));
		}
		String leader = hosted.group().leaderHostId();
		if (leader != null && !leader.equals(this.hostId)) {
			return Mono.just(new ControlMessage.Redirect(leader));
		}
		return Mono.<ControlMessage>defer(() -> task.run(hosted))
			.onErrorResume(ControlService::isNotLeader, (error) -> Mono.just(redirect(hosted.group())));
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
		this.hostedByShare.forEach((share, hosted) -> {
			Map<String, Object> entry = new TreeMap<>();
			entry.put("number", hosted.machine().config().number());
			entry.put("leader", String.valueOf(hosted.group().leaderHostId()));
			entry.put("members", hosted.membership().members());
			dump.put(share, entry);
		});
		return dump;
	}

	/** What is done at the leader of a group. */
	@FunctionalInterface
	private interface LeaderTask {

		Mono<? extends ControlMessage> run(Hosted hosted);

	}

	/**
	 * A replica of this host.
	 *
	 * @param machine the state machine
	 * @param group the replica that drives it
	 * @param membership changes the members of the group
	 */
	private record Hosted(ShareStateMachine machine, ReplicaGroup group, MembershipOperations membership) {

	}

}
