package io.fescuehold.core.limits;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.fescuehold.core.membership.HostRecord;
import io.fescuehold.core.membership.RecentHosts;
import io.fescuehold.core.placement.RendezvousHash;

/**
 * This daemon's share of the requests to each cold server. The daemons divide one budget
 * for each server without communication: each gets the same whole number of requests for
 * a sliding window, and the remaining requests of the budget go one each to the daemons
 * that rendezvous hashing ranks first for the server. With more daemons than requests,
 * most daemons send nothing to a given cold server, and each may send to some of them.
 * <p>
 * The shares of all daemons add up to one budget at most:
 * <ul>
 * <li>daemons count in every state, and for a while after they have left the list, so
 * that no share grows when others vanish or are cut off;</li>
 * <li>a daemon has no share while the leader has not confirmed its list of daemons
 * lately, because others may have taken its place by then;</li>
 * <li>a daemon that joins or returns after a long absence has no share until all others
 * count it.</li>
 * </ul>
 * Requests that were sent while the server was warm count as well. Not thread-safe:
 * confined to one thread.
 */
public final class ColdShares {

	/** The age of the list of daemons from which on a daemon has no share. */
	public static final long MAX_LIST_AGE_MS = 1_000;

	/** The time after which all daemons with a share count one that has joined. */
	public static final long JOIN_MS = 3 * MAX_LIST_AGE_MS;

	/** Longer than leader changes and cuts of the fleet usually last. */
	public static final long RETENTION_MS = 60_000;

	private static final long NEVER = Long.MIN_VALUE / 2;

	private final String hostId;

	private final long ownHash;

	private final RecentHosts hosts = new RecentHosts(RETENTION_MS);

	/** The hashes of the ids of all daemons. */
	private long[] hostHashes = {};

	/** The number of daemons that precede this one in the ranking of each server. */
	private final Map<String, Integer> ranks = new HashMap<>();

	private final Map<String, Sent> sentByServer = new HashMap<>();

	private long entitledFromMs = Long.MAX_VALUE;

	private long observedAtMs = NEVER;

	/**
	 * Creates the shares of a daemon that knows no daemons yet.
	 * @param hostId the id of this daemon
	 */
	public ColdShares(String hostId) {
		this.hostId = hostId;
		this.ownHash = RendezvousHash.hash(hostId);
	}

	/**
	 * Records that the leader confirmed its list of daemons.
	 * @param listed the daemons that the list names, in any state
	 * @param nowMs the time in milliseconds
	 */
	public void observe(List<HostRecord> listed, long nowMs) {
		if (this.hosts.observe(listed, nowMs)) {
			this.hostHashes = this.hosts.ids().stream().mapToLong(RendezvousHash::hash).toArray();
			this.ranks.clear();
		}
		boolean present = this.hosts.ids().contains(this.hostId);
		if (!present) {
			this.entitledFromMs = Long.MAX_VALUE;
		}
		else if (this.entitledFromMs == Long.MAX_VALUE || nowMs - this.observedAtMs > RETENTION_MS / 2) {
			this.entitledFromMs = nowMs + JOIN_MS;
		}
		this.observedAtMs = nowMs;
	}

	/**
	 * Returns whether a request may be placed at a cold server. Requests that were placed
	 * lately and have not been sent yet count too.
	 * @param serverId the instance id of the server
	 * @param budget the requests that the server may get from all daemons
	 * @param listAgeMs the time in milliseconds since the list of daemons was confirmed
	 * @param nowMs the time in milliseconds
	 * @return whether the share of this daemon is not used up
	 */
	public boolean hasRoom(String serverId, ColdBudget budget, long listAgeMs, long nowMs) {
		Sent sent = this.sentByServer.get(serverId);
		int used = (sent != null) ? sent.used(nowMs - budget.windowMs()) : 0;
		return used < share(serverId, budget, listAgeMs, nowMs);
	}

	/**
	 * Returns the share of this daemon.
	 * @param serverId the instance id of the server
	 * @param budget the requests that the server may get from all daemons
	 * @param listAgeMs the time in milliseconds since the list of daemons was confirmed
	 * @param nowMs the time in milliseconds
	 * @return the requests in a window
	 */
	public int share(String serverId, ColdBudget budget, long listAgeMs, long nowMs) {
		if (nowMs < this.entitledFromMs || listAgeMs > MAX_LIST_AGE_MS) {
			return 0;
		}
		int daemons = this.hostHashes.length;
		int remaining = budget.requests() % daemons;
		return budget.requests() / daemons + ((rank(serverId) < remaining) ? 1 : 0);
	}

	private int rank(String serverId) {
		return this.ranks.computeIfAbsent(serverId, (id) -> {
			long serverHash = RendezvousHash.hash(id);
			long ownScore = RendezvousHash.combine(serverHash, this.ownHash);
			int rank = 0;
			for (long hostHash : this.hostHashes) {
				rank += (RendezvousHash.combine(serverHash, hostHash) < ownScore) ? 1 : 0;
			}
			return rank;
		});
	}

	/**
	 * Records that a request was placed at a server, warm or cold.
	 * @param serverId the instance id of the server
	 * @param nowMs the time in milliseconds
	 */
	public void place(String serverId, long nowMs) {
		this.sentByServer.computeIfAbsent(serverId, (id) -> new Sent()).placedAtMs.add(nowMs);
	}

	/**
	 * Records that a request is about to be sent to a server that was placed there.
	 * @param serverId the instance id of the server
	 * @param nowMs the time in milliseconds
	 */
	public void send(String serverId, long nowMs) {
		Sent sent = this.sentByServer.computeIfAbsent(serverId, (id) -> new Sent());
		sent.placedAtMs.poll();
		sent.sentAtMs.add(nowMs);
	}

	/**
	 * Records that a request is about to be sent to a cold server, unless it waited so
	 * long since it was placed that the share is used up.
	 * @param serverId the instance id of the server
	 * @param budget the requests that the server may get from all daemons
	 * @param listAgeMs the time in milliseconds since the list of daemons was confirmed
	 * @param nowMs the time in milliseconds
	 * @return whether it may be sent
	 */
	public boolean trySend(String serverId, ColdBudget budget, long listAgeMs, long nowMs) {
		Sent sent = this.sentByServer.computeIfAbsent(serverId, (id) -> new Sent());
		sent.used(nowMs - budget.windowMs());
		if (sent.sentAtMs.size() >= share(serverId, budget, listAgeMs, nowMs)) {
			sent.placedAtMs.poll();
			return false;
		}
		send(serverId, nowMs);
		return true;
	}

	/**
	 * Returns the mean time between two requests that this daemon may send to some cold
	 * servers if all daemons send equally many.
	 * @param servers the number of cold servers
	 * @param budget the requests that each of them may get
	 * @return the time in milliseconds
	 */
	public long meanWaitMs(int servers, ColdBudget budget) {
		return budget.windowMs() * Math.max(1, this.hostHashes.length)
				/ Math.max(1L, (long) servers * budget.requests());
	}

	/**
	 * Forgets the requests that no window contains any more, and the ranking for servers
	 * that may be gone. Called from time to time.
	 * @param oldestMs the begin of the longest window in milliseconds
	 */
	public void expire(long oldestMs) {
		this.sentByServer.values().removeIf((sent) -> sent.used(oldestMs) == 0);
		this.ranks.clear();
	}

	private static final class Sent {

		private final Deque<Long> placedAtMs = new ArrayDeque<>();

		private final Deque<Long> sentAtMs = new ArrayDeque<>();

		private int used(long sinceMs) {
			drop(this.placedAtMs, sinceMs);
			drop(this.sentAtMs, sinceMs);
			return this.placedAtMs.size() + this.sentAtMs.size();
		}

		private static void drop(Deque<Long> times, long beforeMs) {
			while (!times.isEmpty() && times.peek() < beforeMs) {
				times.poll();
			}
		}

	}

}
