package io.fescuehold.runtime.discovery;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Predicate;

import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.membership.HostRecord;
import io.fescuehold.core.membership.HostTable;
import io.fescuehold.core.prompt.PartReportRelay;
import io.fescuehold.core.routes.EvacuationCommand;
import io.fescuehold.core.routes.RoutingDocument;
import io.fescuehold.core.routes.SubmissionOutcome;
import io.fescuehold.core.servers.AnnouncedServers;
import io.fescuehold.core.servers.BackendServer;
import io.fescuehold.core.servers.FleetLoad;
import io.fescuehold.core.servers.ServerList;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * Answers the pulls of the other daemons. On the leader this is long polling: a pull is
 * held until there are updates or the hold time has passed, and leadership is confirmed
 * by the agreement group before the reply. Not thread-safe: confined to one thread.
 */
final class FleetHub {

	/** Several seconds' worth in a fleet that reads a thousand new parts a second. */
	private static final int MAX_PART_UPDATES = 4_096;

	/** Repeats lost announcements before a daemon has found the leader by searching. */
	private static final long ANNOUNCE_INTERVAL_MS = 300;

	/**
	 * Servers with less memory in use have room whatever their engine, and are left out
	 * of replies.
	 */
	private static final int MIN_REPORTED_UNITS = 32;

	private final FleetOptions options;

	private final RoutingReplica replica;

	private final HostTable hosts;

	private final ConfigurationInForce configuration;

	private final EvacuationsInForce evacuations;

	private final FleetLoad load;

	private final FleetLoad memory;

	private final PartReportRelay partUpdates;

	private final List<HeldPull> heldPulls = new ArrayList<>();

	private ServerList servers = ServerList.EMPTY;

	private final AnnouncedServers announcedServers = new AnnouncedServers();

	/** The hosts that have not sent a pull since this daemon became the leader. */
	private final Set<String> hostsWithoutPull = new HashSet<>();

	private long announcedAtMs;

	private String leaderHostId;

	private boolean wasLeading;

	FleetHub(FleetOptions options, RoutingReplica replica, HostTable hosts, ConfigurationInForce configuration,
			EvacuationsInForce evacuations) {
		this.options = options;
		this.replica = replica;
		this.hosts = hosts;
		this.configuration = configuration;
		this.evacuations = evacuations;
		this.load = new FleetLoad(options.timing().silenceMs());
		this.memory = new FleetLoad(options.timing().silenceMs());
		this.partUpdates = new PartReportRelay(MAX_PART_UPDATES, options.timing().silenceMs());
	}

	void setServers(ServerList list, long nowMs) {
		this.servers = list;
		this.announcedServers.announce(list.servers(), nowMs);
		releaseUpdated();
	}

	/**
	 * Returns whether a list that was read has to be passed on as a new one. If not, the
	 * daemons that still need the current one get it with the cold times that were read.
	 * @param read the servers
	 * @param nowMs the time in milliseconds
	 * @return whether it differs from the current list
	 */
	boolean isNew(List<BackendServer> read, long nowMs) {
		if (this.announcedServers.differFrom(read, nowMs)) {
			return true;
		}
		this.servers = new ServerList(this.servers.revision(), read);
		return false;
	}

	/**
	 * Handles a pull.
	 * @param pull the pull
	 * @param knownLeader the host id of the known leader, or null
	 * @param nowMs the current time in milliseconds
	 * @return the reply, which a replica delays while it knows neither a leader nor a
	 * newer configuration or evacuations
	 */
	Mono<SyncMessage.News> handle(SyncMessage.Pull pull, String knownLeader, long nowMs) {
		this.leaderHostId = knownLeader;
		this.hosts.observe(pull.sender(), nowMs);
		this.hostsWithoutPull.remove(pull.sender().hostId());
		if (!isLeading()) {
			boolean repliesAtOnce = knownLeader != null || this.replica == null || isOutdated(pull);
			return (repliesAtOnce ? Mono.<Void>empty() : hold(pull, nowMs))
				.then(Mono.fromSupplier(() -> redirect(pull)));
		}
		this.load.put(pull.sender().hostId(), pull.requests(), nowMs);
		this.memory.put(pull.sender().hostId(), Objects.requireNonNullElse(pull.memory(), Map.of()), nowMs);
		this.partUpdates.put(pull.sender().hostId(), pull.partsRead(), nowMs);
		Mono<Void> ready = hasUpdates(pull) ? Mono.empty() : hold(pull, nowMs);
		return ready.then(this.replica.readBarrier())
			.then(Mono.fromSupplier(() -> news(pull, nowMs)))
			.onErrorResume((error) -> Mono.fromSupplier(() -> redirect(pull)));
	}

	private Mono<Void> hold(SyncMessage.Pull pull, long nowMs) {
		return Mono
			.create((sink) -> this.heldPulls.add(new HeldPull(pull, sink, nowMs + this.options.timing().holdMs())));
	}

	// Names the known leader and the candidates. Only hosts with a store can lead.
	// Committed configurations and evacuations spread even if there is no leader.
	private SyncMessage.News redirect(SyncMessage.Pull pull) {
		return new SyncMessage.News(isLeading() ? null : this.leaderHostId, false,
				holdsOlderDocument(pull) ? this.configuration.document().encode() : null, null, this.hosts.revision(),
				this.hosts.hosts().stream().filter(HostRecord::hasStore).toList(), Map.of(), Map.of(), null,
				EvacuationsInForce.ifNewer(this.evacuations.current(), pull));
	}

	private boolean isOutdated(SyncMessage.Pull pull) {
		return holdsOlderDocument(pull) || EvacuationsInForce.ifNewer(this.evacuations.current(), pull) != null;
	}

	private boolean holdsOlderDocument(SyncMessage.Pull pull) {
		return pull.number() < this.configuration.number();
	}

	private SyncMessage.News news(SyncMessage.Pull pull, long nowMs) {
		RoutingDocument document = this.replica.current();
		return new SyncMessage.News(this.options.hostId(), true,
				(document.number() > pull.number()) ? document.encode() : null,
				hasNewServers(pull) ? this.servers : null, this.hosts.revision(),
				(this.hosts.revision() != pull.hostsRevision()) ? this.hosts.hosts() : null,
				this.load.totalExcluding(pull.sender().hostId(), nowMs), this.partUpdates.take(pull.sender().hostId()),
				document.number(), EvacuationsInForce.ifNewer(this.replica.evacuations(), pull),
				otherMemory(pull.sender().hostId(), nowMs));
	}

	private Map<String, Integer> otherMemory(String hostId, long nowMs) {
		Map<String, Integer> units = this.memory.totalExcluding(hostId, nowMs);
		units.values().removeIf((total) -> total < MIN_REPORTED_UNITS);
		return units;
	}

	Mono<SubmissionOutcome> submit(RoutingDocument submission) {
		return (this.replica != null) ? this.replica.submit(submission) : notLeader();
	}

	Mono<SyncMessage.Evacuated> evacuate(EvacuationCommand command) {
		return (this.replica != null)
				? this.replica.evacuate(command)
					.map((outcome) -> new SyncMessage.Evacuated(outcome.name(), this.replica.evacuations()))
				: notLeader();
	}

	Mono<byte[]> readNewest() {
		return (this.replica != null)
				? this.replica.readBarrier().then(Mono.fromSupplier(() -> this.replica.current().encode()))
				: notLeader();
	}

	private static <T> Mono<T> notLeader() {
		return Mono.error(new FescueholdException(ErrorCode.NOT_LEADER, "unknown"));
	}

	private boolean hasNewServers(SyncMessage.Pull pull) {
		return this.servers.revision() != ServerList.EMPTY.revision()
				&& this.servers.revision() != pull.serversRevision();
	}

	private boolean hasUpdates(SyncMessage.Pull pull) {
		return this.replica.current().number() > pull.number() || hasNewServers(pull)
				|| this.hosts.revision() != pull.hostsRevision()
				|| EvacuationsInForce.ifNewer(this.replica.evacuations(), pull) != null;
	}

	/**
	 * Releases the held pulls for which there are updates or whose hold time has passed.
	 * @param knownLeader the host id of the known leader, or null
	 * @param nowMs the current time in milliseconds
	 */
	void tick(String knownLeader, long nowMs) {
		this.leaderHostId = knownLeader;
		boolean leads = isLeading();
		if (leads && !this.wasLeading) {
			this.hosts.restartReportTimeouts(nowMs);
			this.announcedAtMs = nowMs - ANNOUNCE_INTERVAL_MS;
			this.hostsWithoutPull.clear();
			this.hosts.hosts().forEach((host) -> this.hostsWithoutPull.add(host.hostId()));
			this.hostsWithoutPull.remove(this.options.hostId());
		}
		this.wasLeading = leads;
		if (leads) {
			this.hosts.expire(nowMs);
		}
		release((heldPull) -> nowMs >= heldPull.untilMs || (leads ? hasUpdates(heldPull.pull) : knownLeader != null));
	}

	/**
	 * Returns the hosts to which this daemon announces itself as the leader. A host that
	 * was disconnected or still starting misses an announcement, so announcements are
	 * repeated for hosts that have not sent a pull since.
	 * @param nowMs the current time in milliseconds
	 * @return the host ids, empty while this daemon does not lead
	 */
	List<String> announcementTargets(long nowMs) {
		if (!isLeading() || nowMs - this.announcedAtMs < ANNOUNCE_INTERVAL_MS) {
			return List.of();
		}
		this.announcedAtMs = nowMs;
		this.hostsWithoutPull.removeIf((hostId) -> this.hosts.find(hostId) == null);
		return List.copyOf(this.hostsWithoutPull);
	}

	/**
	 * Releases the held pulls for which there are updates.
	 */
	void releaseUpdated() {
		release((heldPull) -> hasUpdates(heldPull.pull));
	}

	/**
	 * Releases the held pulls of daemons that obey an older configuration or older
	 * evacuations than this one.
	 */
	void releaseOutdated() {
		release((heldPull) -> isOutdated(heldPull.pull));
	}

	private void release(Predicate<HeldPull> due) {
		List<HeldPull> released = this.heldPulls.stream().filter(due).toList();
		this.heldPulls.removeAll(released);
		released.forEach((heldPull) -> heldPull.sink.success());
	}

	/**
	 * Returns whether any pull is held.
	 * @return whether at least one pull waits for its reply
	 */
	boolean hasHeldPulls() {
		return !this.heldPulls.isEmpty();
	}

	boolean isLeading() {
		return this.replica != null && this.replica.isLeading();
	}

	List<HostRecord> liveHosts() {
		return this.hosts.hosts();
	}

	private record HeldPull(SyncMessage.Pull pull, MonoSink<Void> sink, long untilMs) {

	}

}
