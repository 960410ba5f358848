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
 * Pings the other daemons each second and answers which of them are live. It is meant for
 * fleets of tens of daemons; the pings of a daemon grow with their number.
 */
public final class HostDirectory implements StateDump {

	private static final Duration PING_INTERVAL = Duration.ofSeconds(1);

	private static final Duration PING_TIMEOUT = Duration.ofSeconds(1);

	private static final long COUNT_AGE_MS = 250;

	private final String selfHostId;

	private final List<FleetHost> hosts;

	private final PeerTransport transport;

	private final Scheduler scheduler;

	private final HostLiveness liveness;

	private Disposable pings;

	private volatile Count count = new Count(1, 0);

	/**
	 * Creates a directory that is not started.
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
	 * Starts to ping and to answer pings.
	 */
	public void start() {
		this.transport.onMessage(FleetMessage.HostPing.class, (from, ping) -> {
			noteAnswer(from, ping.draining());
			return Mono.just(new FleetMessage.HostState(isDraining()));
		});
		this.pings = this.scheduler.schedulePeriodically(this::pingHigher, 0, PING_INTERVAL.toMillis(),
				TimeUnit.MILLISECONDS);
	}

	/**
	 * Stops to ping.
	 */
	public void stop() {
		if (this.pings != null) {
			this.pings.dispose();
		}
	}

	// A ping carries the state of its sender and its reply that of the receiver, so one
	// of two daemons pings the other.
	private void pingHigher() {
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
				noteAnswer(hostId, state.draining());
			}
		}, (ex) -> {
			// A host that does not answer is dead after its silence limit.
		});
	}

	private void noteAnswer(String hostId, boolean draining) {
		synchronized (this.liveness) {
			this.liveness.answered(hostId, draining, nowMs());
		}
	}

	/**
	 * Replaces the hosts that the platform's list calls leaving.
	 * @param hostIds the host ids
	 */
	public void listLeaving(Set<String> hostIds) {
		synchronized (this.liveness) {
			this.liveness.listLeaving(hostIds);
		}
	}

	/**
	 * Declares that this host is draining and tells the other daemons at once.
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
	 * Returns the number of routers that are not dead. Every placement asks for it, so it
	 * is counted again only after {@value #COUNT_AGE_MS} ms.
	 * @return the number, at least 1
	 */
	public int liveRouters() {
		Count last = this.count;
		long nowMs = nowMs();
		if (nowMs - last.atMs >= COUNT_AGE_MS) {
			last = new Count(Math.max(1, liveRouterIds().size()), nowMs);
			this.count = last;
		}
		return last.routers;
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

	private record Count(int routers, long atMs) {

	}

}
