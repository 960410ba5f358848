package io.fescuehold.runtime.gateway;

import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import com.google.common.flogger.FluentLogger;
import io.fescuehold.core.evacuation.EvacuationView;
import io.fescuehold.core.evacuation.Evacuations;
import io.fescuehold.core.freshness.ConfigFreshness;
import io.fescuehold.core.limits.ColdServers;
import io.fescuehold.core.limits.ColdShares;
import io.fescuehold.core.limits.ServerIntake;
import io.fescuehold.core.limits.ServerRequestLimits;
import io.fescuehold.core.membership.HostRecord;
import io.fescuehold.core.prompt.MemoryInUse;
import io.fescuehold.core.prompt.PartHolders;
import io.fescuehold.core.quarantine.RequestQuarantine;
import io.fescuehold.core.routes.CallerLimits;
import io.fescuehold.core.routes.ColdStart;
import io.fescuehold.core.routes.Route;
import io.fescuehold.core.routes.RouteTable;
import io.fescuehold.core.routes.RoutedService;
import io.fescuehold.core.routes.RoutingDocument;
import io.fescuehold.core.servers.LoadFractions;
import io.fescuehold.core.servers.ServerList;
import io.fescuehold.core.servers.ServerState;
import io.fescuehold.core.servers.ServerTable;
import io.fescuehold.core.streamversion.ServedVersions;
import io.fescuehold.runtime.discovery.FleetListener;

/**
 * The gateway's local view of the configuration, the servers and the other daemons, which
 * may be outdated. Not thread-safe: confined to one thread.
 */
public final class GatewayBelief implements FleetListener {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** Maximum number of tracked prompt parts; a few kilobytes per hundred parts. */
	private static final int MAX_TRACKED_PARTS = 8_192;

	/**
	 * Engines keep unused parts for about this long at peak load. An entry for a part
	 * that the engine has evicted costs no more than a missing entry.
	 */
	private static final long PART_RETENTION_MS = 120_000;

	/**
	 * A stream can be taken up once more shortly before the time limit of its first
	 * request, and then last for that limit again.
	 */
	private static final int TAKE_UP_LIMITS = 2;

	/** Longer than the window over which the requests to cold servers are limited. */
	private static final long COLD_WINDOWS_MS = 10_000;

	/** The limit of streams while no configuration is known. */
	private static final long DEFAULT_STREAM_LIMIT_MS = 60_000;

	private final RoutingCodec codec;

	private final LongSupplier clockMs;

	private final ConfigFreshness freshness = new ConfigFreshness();

	private final ServerTable servers = new ServerTable();

	private final PartHolders holders = new PartHolders(MAX_TRACKED_PARTS, PART_RETENTION_MS);

	private final MemoryInUse memoryInUse = new MemoryInUse();

	private final RequestQuarantine quarantine;

	private final ServerRequestLimits requestLimits;

	private final ServerIntake intake = new ServerIntake();

	private final EvacuationView evacuations = new EvacuationView();

	private final ColdServers coldServers = new ColdServers();

	private final ColdShares coldShares;

	private final ColdServerMonitor coldMonitor = new ColdServerMonitor();

	private final LoadFractions loadFractions = new LoadFractions();

	private final ServedVersions servedVersions;

	private RouteTable table;

	private RoutingDocument document = RoutingDocument.NONE;

	private List<HostRecord> hosts = List.of();

	private long otherRequestsAtMs = Long.MIN_VALUE / 2;

	/**
	 * Creates a view without a configuration.
	 * @param hostId the id of this daemon
	 * @param codec the decoder of configurations
	 * @param clockMs the clock in milliseconds
	 * @param random the source of random choices
	 */
	public GatewayBelief(String hostId, RoutingCodec codec, LongSupplier clockMs, RandomGenerator random) {
		this.requestLimits = new ServerRequestLimits(random);
		this.quarantine = new RequestQuarantine(hostId);
		this.coldShares = new ColdShares(hostId);
		this.codec = codec;
		this.clockMs = clockMs;
		this.servedVersions = new ServedVersions(streamRetentionMs(), clockMs.getAsLong());
	}

	/**
	 * Returns the time.
	 * @return the time in milliseconds of the clock that all figures are measured with
	 */
	public long nowMs() {
		return this.clockMs.getAsLong();
	}

	@Override
	public void onDocument(RoutingDocument document) {
		this.table = new RouteTable(this.codec.decodeAccepted(Documents.submitted(document)));
		this.document = document;
		logger.atInfo()
			.log("Configuration %d with %d routes is in force", document.number(), this.table.config().routes().size());
	}

	@Override
	public void onConfirmed(long askedAtMs) {
		this.freshness.confirm(askedAtMs);
		this.coldShares.observe(this.hosts, this.clockMs.getAsLong());
		updateColdMonitor();
	}

	@Override
	public void onEvacuations(Evacuations changed) {
		long nowMs = this.clockMs.getAsLong();
		this.evacuations.current()
			.domains()
			.stream()
			.filter((domain) -> !changed.domains().contains(domain))
			.forEach((domain) -> this.coldServers.domainReturned(domain, nowMs));
		this.evacuations.update(changed, nowMs);
	}

	@Override
	public void onServers(ServerList list) {
		this.servers.update(list, this.clockMs.getAsLong());
		this.servedVersions.observe(list.servers(), this.clockMs.getAsLong());
		this.coldServers.onList(list.servers(), this.clockMs.getAsLong());
		updateColdMonitor();
	}

	@Override
	public void onHosts(List<HostRecord> live) {
		this.hosts = List.copyOf(live);
		this.coldShares.observe(this.hosts, this.clockMs.getAsLong());
	}

	@Override
	public void onOtherRequests(Map<String, Integer> requests) {
		this.otherRequestsAtMs = this.clockMs.getAsLong();
		this.servers.all().forEach((server) -> server.setOtherRequests(requests.getOrDefault(server.server().id(), 0)));
		if (!this.requestLimits.isEmpty()) {
			recordLoadFractions();
		}
	}

	/**
	 * Removes what is no longer valid. Called from time to time.
	 */
	public void expire() {
		long nowMs = this.clockMs.getAsLong();
		this.quarantine.expire(nowMs);
		this.requestLimits.expire(nowMs);
		this.intake.expire(nowMs);
		this.coldShares.expire(nowMs - COLD_WINDOWS_MS);
		updateColdMonitor();
		if (this.requestLimits.isEmpty()) {
			this.loadFractions.clear();
		}
	}

	private void updateColdMonitor() {
		if (this.table == null
				|| this.table.config().services().stream().noneMatch((service) -> service.coldStart().isLimited())) {
			return;
		}
		Set<String> cold = new HashSet<>();
		for (ServerState server : this.servers.all()) {
			ColdStart coldStart = coldStart(server.server().service());
			if (coldStart.isLimited()
					&& this.coldServers.isCold(server.server(), coldStart, this.clockMs.getAsLong())) {
				cold.add(server.server().id());
			}
		}
		this.coldMonitor.update(cold);
	}

	/**
	 * Returns how long ago the requests of the other daemons were reported.
	 * @return the time in milliseconds, very large if they never were
	 */
	long otherRequestsAgeMs() {
		return this.clockMs.getAsLong() - this.otherRequestsAtMs;
	}

	private void recordLoadFractions() {
		Map<String, Integer> own = new HashMap<>();
		Map<String, Integer> all = new HashMap<>();
		for (ServerState server : this.servers.all()) {
			own.merge(server.server().service(), server.ownRequests(), Integer::sum);
			all.merge(server.server().service(), server.load(), Integer::sum);
		}
		all.forEach((service, requests) -> this.loadFractions.record(service, own.get(service),
				requests - own.get(service), this.clockMs.getAsLong()));
	}

	@Override
	public Map<String, Integer> ownRequests() {
		Map<String, Integer> requests = new HashMap<>();
		for (ServerState server : this.servers.all()) {
			if (server.ownRequests() > 0) {
				requests.put(server.server().id(), server.ownRequests());
			}
		}
		return requests;
	}

	@Override
	public void onOtherMemory(Map<String, Integer> units) {
		this.memoryInUse.setOtherUnits(units);
	}

	@Override
	public Map<String, Integer> ownMemory() {
		return this.memoryInUse.ownUnits();
	}

	/**
	 * Returns the memory of engines that requests in flight take.
	 * @return the memory by server
	 */
	public MemoryInUse memoryInUse() {
		return this.memoryInUse;
	}

	@Override
	public void onPartsRead(Map<String, Set<String>> partsByServer) {
		this.holders.recordReportedParts(partsByServer, this.clockMs.getAsLong());
	}

	@Override
	public Map<String, Set<String>> takePartsRead() {
		return this.holders.takeUnreportedParts();
	}

	/**
	 * Returns which servers have which prompt parts cached.
	 * @return the index of servers by prompt part
	 */
	public PartHolders holders() {
		return this.holders;
	}

	/**
	 * Returns the quarantine of prompt parts that crash servers.
	 * @return the quarantine
	 */
	public RequestQuarantine quarantine() {
		return this.quarantine;
	}

	/**
	 * Returns the limits that overloaded servers have named.
	 * @return the limits
	 */
	public ServerRequestLimits requestLimits() {
		return this.requestLimits;
	}

	/**
	 * Returns which servers are cold.
	 * @return the servers as far as this daemon knows
	 */
	public ColdServers coldServers() {
		return this.coldServers;
	}

	/**
	 * Returns the share of this daemon of the requests to cold servers.
	 * @return the shares
	 */
	public ColdShares coldShares() {
		return this.coldShares;
	}

	/**
	 * Returns the number of cold servers. May be called by any thread.
	 * @return the number of servers that were lately seen to be cold
	 */
	public int coldServerCount() {
		return this.coldMonitor.count();
	}

	/**
	 * Returns the services of the configuration in force.
	 * @return their names, empty while no configuration is known
	 */
	public Set<String> serviceNames() {
		return (this.table == null) ? Set.of()
				: this.table.config().services().stream().map(RoutedService::name).collect(Collectors.toSet());
	}

	/**
	 * Returns how the servers of a service behave after a start.
	 * @param service the service
	 * @return the behaviour that the configuration names, or that of servers that are
	 * never cold
	 */
	public ColdStart coldStart(String service) {
		RoutedService named = (this.table != null) ? this.table.service(service) : null;
		return (named != null) ? named.coldStart() : ColdStart.NONE;
	}

	/**
	 * Returns which servers leave or rest.
	 * @return what the servers said to this daemon
	 */
	public ServerIntake intake() {
		return this.intake;
	}

	/**
	 * Returns the failure domains to whose servers nothing may be sent.
	 * @return the evacuations that this daemon obeys, and when they ended
	 */
	public EvacuationView evacuations() {
		return this.evacuations;
	}

	/**
	 * Returns the software versions that can have begun streams.
	 * @return the versions
	 */
	public ServedVersions servedVersions() {
		return this.servedVersions;
	}

	/**
	 * Returns the time for which a stream can be continued after its first event.
	 * @return the time in milliseconds
	 */
	public long streamRetentionMs() {
		long limitMs = (this.table != null) ? this.table.config()
			.routes()
			.stream()
			.filter((route) -> route.isStreaming() && route.isRepeatable())
			.mapToLong(Route::timeoutMs)
			.max()
			.orElse(DEFAULT_STREAM_LIMIT_MS) : DEFAULT_STREAM_LIMIT_MS;
		return TAKE_UP_LIMITS * limitMs;
	}

	/**
	 * Returns the fraction of the fleet's load on a service that this daemon carries.
	 * @param service the service
	 * @return a number from 0 to 1
	 */
	public double loadFraction(String service) {
		// Hosts that start or drain count too, so that all fractions add up to one at
		// most.
		return this.loadFractions.fraction(service, this.hosts.size());
	}

	/**
	 * Returns the configuration in force.
	 * @return the routes, or null before the first configuration
	 */
	public RouteTable table() {
		return this.table;
	}

	/**
	 * Returns whether a configuration is the one in force.
	 * @param submitted the bytes that an operator submitted
	 * @return whether they are the same as those of the configuration in force
	 */
	public boolean isInForce(byte[] submitted) {
		return this.table != null && Arrays.equals(Documents.submitted(this.document), submitted);
	}

	/**
	 * Returns the number of the configuration in force.
	 * @return the number, or 0
	 */
	public long number() {
		return (this.table != null) ? this.table.config().number() : 0;
	}

	/**
	 * Returns the limits for caller connections.
	 * @return the limits in force, or the defaults before the first configuration
	 */
	public CallerLimits limits() {
		return (this.table != null) ? this.table.config().limits() : CallerLimits.DEFAULT;
	}

	/**
	 * Returns the time since the configuration was last confirmed to be the newest.
	 * @return the age in milliseconds
	 */
	public long ageMs() {
		return this.freshness.ageMs(this.clockMs.getAsLong());
	}

	/**
	 * Returns the servers.
	 * @return the servers of all services
	 */
	public ServerTable servers() {
		return this.servers;
	}

	/**
	 * Returns the live daemons.
	 * @return the daemons as the leader last listed them
	 */
	public List<HostRecord> hosts() {
		return this.hosts;
	}

}
