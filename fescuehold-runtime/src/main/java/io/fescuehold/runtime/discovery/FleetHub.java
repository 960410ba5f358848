package io.fescuehold.runtime.discovery;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import io.fescuehold.core.membership.HostRecord;
import io.fescuehold.core.membership.HostTable;
import io.fescuehold.core.prompt.PartNews;
import io.fescuehold.core.routes.RoutingDocument;
import io.fescuehold.core.servers.FleetLoad;
import io.fescuehold.core.servers.ServerList;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * Answers the questions of the other daemons. As the leader it holds a question until
 * there are news or the hold time has passed, and proves that it still leads before it
 * answers. Used by one thread.
 */
final class FleetHub {

	/** The parts of some seconds of a fleet that reads a thousand new ones a second. */
	private static final int MAX_PART_NEWS = 4_096;

	private final FleetOptions options;

	private final CoreReplica replica;

	private final HostTable hosts;

	private final FleetLoad load;

	private final PartNews partNews;

	private final List<Waiter> waiters = new ArrayList<>();

	private ServerList servers = ServerList.EMPTY;

	private boolean led;

	FleetHub(FleetOptions options, CoreReplica replica, HostTable hosts) {
		this.options = options;
		this.replica = replica;
		this.hosts = hosts;
		this.load = new FleetLoad(options.timing().silenceMs());
		this.partNews = new PartNews(MAX_PART_NEWS, options.timing().silenceMs());
	}

	void setServers(ServerList list) {
		this.servers = list;
		wake();
	}

	/**
	 * Answers a question.
	 * @param pull the question
	 * @param leaderHostId the leader as far as known, or null
	 * @param nowMs the time in milliseconds
	 * @return the answer
	 */
	Mono<SyncMessage.News> answer(SyncMessage.Pull pull, String leaderHostId, long nowMs) {
		this.hosts.observe(pull.sender(), nowMs);
		if (!isLeading()) {
			return Mono.just(new SyncMessage.News(leaderHostId, false, null, null, this.hosts.revision(),
					this.hosts.hosts(), Map.of(), Map.of()));
		}
		this.load.put(pull.sender().hostId(), pull.requests(), nowMs);
		this.partNews.put(pull.sender().hostId(), pull.partsRead(), nowMs);
		Mono<Void> held = hasNews(pull) ? Mono.empty() : Mono
			.create((sink) -> this.waiters.add(new Waiter(pull, sink, nowMs + this.options.timing().holdMs())));
		return held.then(this.replica.barrier())
			.then(Mono.fromSupplier(() -> news(pull, nowMs)))
			.onErrorResume((error) -> Mono.just(new SyncMessage.News(null, false, null, null, this.hosts.revision(),
					this.hosts.hosts(), Map.of(), Map.of())));
	}

	private SyncMessage.News news(SyncMessage.Pull pull, long nowMs) {
		RoutingDocument document = this.replica.current();
		return new SyncMessage.News(this.options.hostId(), true,
				(document.number() > pull.number()) ? document.encode() : null,
				hasOtherServers(pull) ? this.servers : null, this.hosts.revision(),
				(this.hosts.revision() != pull.hostsRevision()) ? this.hosts.hosts() : null,
				this.load.totalWithout(pull.sender().hostId(), nowMs), this.partNews.take(pull.sender().hostId()));
	}

	private boolean hasOtherServers(SyncMessage.Pull pull) {
		return this.servers.revision() != ServerList.EMPTY.revision()
				&& this.servers.revision() != pull.serversRevision();
	}

	private boolean hasNews(SyncMessage.Pull pull) {
		return this.replica.current().number() > pull.number() || hasOtherServers(pull)
				|| this.hosts.revision() != pull.hostsRevision();
	}

	/**
	 * Ends the waits that have news or were held for long enough.
	 * @param nowMs the time in milliseconds
	 */
	void tick(long nowMs) {
		boolean leads = isLeading();
		if (leads && !this.led) {
			this.hosts.restartSilence(nowMs);
		}
		this.led = leads;
		if (leads) {
			this.hosts.expire(nowMs);
		}
		release((waiter) -> !leads || nowMs >= waiter.untilMs || hasNews(waiter.pull));
	}

	/**
	 * Answers the questions for which there are news.
	 */
	void wake() {
		release((waiter) -> hasNews(waiter.pull));
	}

	private void release(Predicate<Waiter> due) {
		List<Waiter> released = this.waiters.stream().filter(due).toList();
		this.waiters.removeAll(released);
		released.forEach((waiter) -> waiter.sink.success());
	}

	boolean isLeading() {
		return this.replica != null && this.replica.isLeading();
	}

	List<HostRecord> liveHosts() {
		return this.hosts.hosts();
	}

	private record Waiter(SyncMessage.Pull pull, MonoSink<Void> sink, long untilMs) {

	}

}
