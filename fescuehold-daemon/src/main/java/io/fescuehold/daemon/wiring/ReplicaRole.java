package io.fescuehold.daemon.wiring;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.fescuehold.core.agreement.AgreementTiming;
import io.fescuehold.core.port.PeerTransport;
import io.fescuehold.core.port.StateCodec;
import io.fescuehold.core.port.StateDump;
import io.fescuehold.core.state.ShareStateMachine;
import io.fescuehold.daemon.settings.DaemonSettings;
import io.fescuehold.daemon.settings.ShareSettings;
import io.fescuehold.daemon.settings.TimingSettings;
import io.fescuehold.runtime.control.ConfigFeed;
import io.fescuehold.runtime.control.ControlService;
import io.fescuehold.runtime.replica.AgreementTransport;
import io.fescuehold.runtime.replica.MonotonicScheduler;
import io.fescuehold.runtime.replica.ReplicaOptions;
import io.fescuehold.runtime.replica.ReplicaRuntime;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/**
 * The replica role: one replica per share. On a host that is not a member of a share's
 * group, the replica waits until a membership change adds it.
 */
final class ReplicaRole {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final DaemonSettings settings;

	private final ControlService service;

	private final Map<String, ReplicaRuntime> replicas = new HashMap<>();

	private final List<Scheduler> loops = new ArrayList<>();

	/**
	 * Creates the replicas of all shares.
	 * @param settings the settings
	 * @param transport the connections to the other daemons
	 * @param replicaHosts the hosts that may hold replicas of a share
	 * @param codec serialises commands and outcomes
	 * @param feed receives accepted configurations
	 * @param scheduler the clock of the control service
	 * @param metrics the registry of the metrics
	 * @param seed the seed of the election timeouts
	 */
	ReplicaRole(DaemonSettings settings, PeerTransport transport, Function<String, List<String>> replicaHosts,
			StateCodec codec, ConfigFeed feed, Scheduler scheduler, MetricRegistry metrics, long seed) {
		this.settings = settings;
		this.service = new ControlService(settings.hostId(), transport, replicaHosts, codec, feed, scheduler);
		AgreementTransport agreement = new AgreementTransport(transport);
		for (ShareSettings share : settings.shares()) {
			ShareStateMachine machine = new ShareStateMachine(share.share(), codec, feed::offer);
			Scheduler loop = Schedulers.newSingle("replica-" + share.share());
			this.loops.add(loop);
			ReplicaRuntime replica = new ReplicaRuntime(options(share), agreement, machine,
					new MonotonicScheduler(loop), metrics, seed);
			this.replicas.put(share.share(), replica);
			this.service.host(machine, replica, new ReplicaMembership(replica));
		}
	}

	private ReplicaOptions options(ShareSettings share) {
		Map<String, String> failureDomains = new HashMap<>();
		this.settings.fleet().forEach((host) -> failureDomains.put(host.hostId(), host.failureDomain()));
		TimingSettings timing = this.settings.timing();
		return new ReplicaOptions(share.share(), this.settings.hostId(), Path.of(this.settings.dataFolder()),
				share.replicaHostIds(), failureDomains, new AgreementTiming(timing.heartbeatMs(),
						timing.electionTimeoutMs(), timing.leaseMs(), timing.snapshotEveryEntries()));
	}

	/**
	 * Opens the stores and joins the groups.
	 * @return completes when all replicas run; errors with code STORAGE_DAMAGED or
	 * STORAGE_FAILED
	 */
	Mono<Void> start() {
		return Flux.fromIterable(this.replicas.entrySet()).flatMap((entry) -> {
			logFailure(entry.getKey(), entry.getValue());
			return entry.getValue().start();
		}).then(Mono.fromRunnable(this.service::start));
	}

	private static void logFailure(String share, ReplicaRuntime replica) {
		replica.failure()
			.subscribe((error) -> logger.atSevere()
				.withCause(error)
				.log("The replica of share %s has stopped; the other roles of this daemon continue", share));
	}

	/**
	 * Transfers the leaderships to other hosts and closes the stores.
	 * @return completes when all stores are closed
	 */
	Mono<Void> stop() {
		return Flux.fromIterable(this.replicas.values()).flatMap(ReplicaRuntime::stop).then(Mono.fromRunnable(() -> {
			this.service.stop();
			this.loops.forEach(Scheduler::dispose);
		}));
	}

	/**
	 * Returns the sections of the state dump.
	 * @return the sections
	 */
	List<StateDump> dumps() {
		List<StateDump> dumps = new ArrayList<>(this.replicas.values());
		dumps.add(this.service);
		return dumps;
	}

}
