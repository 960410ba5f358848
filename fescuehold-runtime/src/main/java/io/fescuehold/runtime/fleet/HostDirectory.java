package io.fescuehold.runtime.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import io.fescuehold.core.entry.EntryHost;
import io.fescuehold.core.entry.HostLiveness;
import io.fescuehold.core.port.PeerTransport;
import io.fescuehold.core.port.StateDump;
import io.fescuehold.core.relay.RelayHost;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Pings the other daemons every second and keeps track of which of them are live. It is
 * designed for fleets of tens of daemons, because the number of pings that a daemon sends
 * grows with the size of the fleet.
 */
public final class HostDirectory implements StateDump {

	private static final Duration PING_INTERVAL = Duration.ofSeconds(1);

	private static final Duration PING_TIMEOUT = Duration.ofSeconds(1);

	private static final long MAX_COUNT_AGE_MS = 250;

	private final String selfHostId;

	private final List<FleetHost> hosts;

	private final PeerTransport transport;

	private final Scheduler scheduler;

	private final HostLiveness liveness;

	private Disposable pingTask;

	private volatile RouterCount lastCount = new RouterCount(1, 0);

	/**
	 * Creates a directory. It sends no pings until it is started.
	 * @param selfHostId the id of this host
	 * @param hosts all daemons, this one included
	 * @param transport the connections to the other daemons
	 * @param scheduler the clock and the timer
	 */
	public HostDirectory(String selfHostId, List<FleetHost> hosts, PeerTransport transport, Scheduler scheduler) {
		this.selfHostId = selfHostId;
		this.hosts = List.copyOf(hosts);
		this.transport = transport;
		this.scheduler = scheduler;
		this.liveness = new HostLiveness(selfHostId, nowMs());
	}

	/**
	 * Starts to send and to answer pings.
	 */
	public void start() {
		this.transport.onMessage(FleetMessage.HostPing.class, (from, ping) -> {
			recordAnswer(from, ping.draining());
			return Mono.just(new FleetMessage.HostState(isDraining()));
		});
		this.pingTask = this.scheduler.schedulePeriodically(this::pingHostsWithHigherId, 0, PING_INTERVAL.toMillis(),
				TimeUnit.MILLISECONDS);
	}

	/**
	 * Stops sending pings.
	 */
	public void stop() {
		if (this.pingTask != null) {
			this.pingTask.dispose();
		}
	}

	// A ping contains the state of the sender and the reply that of the receiver, so one
	// ping per pair of daemons is enough: the daemon with the lower host id sends it.
	private void pingHostsWithHigherId() {
		this.hosts.stream()
			.map(FleetHost::hostId)
			.filter((hostId) -> hostId.compareTo(this.selfHostId) > 0)
			.forEach(this::ping);
	}

	private void pingAll() {
		this.hosts.stream()
			.map(FleetHost::hostId)
			.filter((hostId) -> !hostId.equals(this.selfHostId))
			.forEach(this::ping);
	}

	private void ping(String hostId) {
		this.transport.request(hostId, new FleetMessage.HostPing(isDraining()), PING_TIMEOUT).subscribe((reply) -> {
			if (reply instanceof FleetMessage.HostState state) {
				recordAnswer(hostId, state.draining());
			}
		}, (ex) -> {
			// HostLiveness regards a host as dead after SILENCE_MS without answers.
		});
	}

	private void recordAnswer(String hostId, boolean draining) {
		synchronized (this.liveness) {
			this.liveness.answered(hostId, draining, nowMs());
		}
	}

	/**
	 * Replaces the set of hosts that are leaving according to the platform's list.
	 * @param hostIds the ids of the leaving hosts
	 */
	public void listLeaving(Set<String> hostIds) {
		synchronized (this.liveness) {
			this.liveness.listLeaving(hostIds);
		}
	}

	/**
	 * Marks this host as draining and notifies the other daemons immediately.
	 */
	public void drainSelf() {
		synchronized (this.liveness) {
			this.liveness.drainSelf();
		}
		pingAll();
	}

	private boolean isDraining() {
		synchronized (this.liveness) {
			return this.liveness.isDraining();
		}
	}

	/**
	 * Returns the routers with their states.
	 * @return the routers
	 */
	public List<EntryHost> routers() {
		long nowMs = nowMs();
		List<EntryHost> routers = new ArrayList<>();
		synchronized (this.liveness) {
			for (FleetHost host : this.hosts) {
				if (host.callerAddress() != null) {
					routers.add(new EntryHost(host.hostId(), host.callerAddress(), host.failureDomain(),
							this.liveness.state(host.hostId(), nowMs)));
				}
			}
		}
		return routers;
	}

	/**
	 * Returns the daemons that are not dead, for the relay tree.
	 * @return the daemons
	 */
	public List<RelayHost> alive() {
		long nowMs = nowMs();
		synchronized (this.liveness) {
			return this.hosts.stream()
				.filter((host) -> this.liveness.state(host.hostId(), nowMs) != EntryHost.State.DEAD)
				.map((host) -> new RelayHost(host.hostId(), host.failureDomain(), host.replica()))
				.toList();
		}
	}

	/**
	 * Returns the routers that are not dead.
	 * @return the host ids
	 */
	public List<String> liveRouterIds() {
		return routers().stream()
			.filter((host) -> host.state() != EntryHost.State.DEAD)
			.map(EntryHost::hostId)
			.toList();
	}

	/**
	 * Returns the number of routers that are not dead. The count is cached for
	 * {@value #MAX_COUNT_AGE_MS} ms, because every placement reads it.
	 * @return the number, at least 1
	 */
	public int liveRouters() {
		RouterCount cached = this.lastCount;
		long nowMs = nowMs();
		if (nowMs - cached.countedAtMs >= MAX_COUNT_AGE_MS) {
			cached = new RouterCount(Math.max(1, liveRouterIds().size()), nowMs);
			this.lastCount = cached;
		}
		return cached.routers;
	}

	private long nowMs() {
		return this.scheduler.now(TimeUnit.MILLISECONDS);
	}

	@Override
	public String dumpName() {
		return "hosts";
	}

	@Override
	public Object dump() {
		Map<String, String> states = new TreeMap<>();
		long nowMs = nowMs();
		synchronized (this.liveness) {
			this.hosts.forEach((host) -> states.put(host.hostId(), this.liveness.state(host.hostId(), nowMs).name()));
		}
		return states;
	}

	private record RouterCount(int routers, long countedAtMs) {

	}

}
