package io.fescuehold.core.limits;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Requests that wait for room at a server. The queue is bounded by size and time. It
 * serves higher priorities first and the teams of one priority by start-time fair
 * queueing, so a team with many entries does not delay the others.
 *
 * @param <T> the type of the entries
 */
public final class RequestQueue<T> {

	private static final double MS_PER_S = 1_000;

	private static final double MIN_RATE_PER_S = 0.5;

	private final Map<Priority, Lane<T>> lanes = new EnumMap<>(Priority.class);

	private final RetryAfterSpread spread;

	private final DecayingSum served;

	private int size;

	/**
	 * Creates an empty queue.
	 * @param seed the seed of the jitter in retry times
	 */
	public RequestQueue(long seed) {
		this.spread = new RetryAfterSpread(seed);
		this.served = new DecayingSum(5 * MS_PER_S, 0);
		for (Priority priority : Priority.values()) {
			this.lanes.put(priority, new Lane<>());
		}
	}

	/**
	 * Adds an entry.
	 * @param item the entry
	 * @param place where the entry stands among the others
	 * @param limits the bounds of the queue
	 * @param nowMs the time in milliseconds
	 * @return whether the entry waits, and which entry had to leave for it
	 */
	public QueueOffer<T> offer(T item, Place place, Limits limits, long nowMs) {
		long expiresAtMs = Math.min(place.deadlineMs(), nowMs + limits.maxWaitMs());
		Entry<T> entry = new Entry<>(item, place, expiresAtMs);
		if (expectedWaitMs(place, nowMs) > expiresAtMs - nowMs) {
			return new QueueOffer.Refused<>(retryAfterMs(nowMs));
		}
		if (this.size < limits.maxEntries()) {
			add(entry);
			return new QueueOffer.Queued<>();
		}
		Entry<T> displaced = (limits.maxEntries() > 0) ? removeBelow(place.priority()) : null;
		if (displaced == null) {
			return new QueueOffer.Refused<>(retryAfterMs(nowMs));
		}
		add(entry);
		return new QueueOffer.Displaced<>(displaced.item, retryAfterMs(nowMs));
	}

	// Entries of higher priority go first and teams of equal priority take turns. Without
	// a recent rate the wait is unknown and counts as none.
	private double expectedWaitMs(Place place, long nowMs) {
		double ratePerS = this.served.ratePerS(nowMs);
		if (ratePerS < MIN_RATE_PER_S) {
			return 0;
		}
		int ahead = 0;
		for (Map.Entry<Priority, Lane<T>> entry : this.lanes.entrySet()) {
			if (entry.getKey().compareTo(place.priority()) < 0) {
				ahead += entry.getValue().size();
			}
		}
		ahead += this.lanes.get(place.priority()).ahead(place.team());
		return MS_PER_S * ahead / ratePerS;
	}

	/**
	 * Takes the next entry that has not expired.
	 * @param nowMs the time in milliseconds
	 * @return the entry, or null if none waits
	 */
	public T poll(long nowMs) {
		for (Lane<T> lane : this.lanes.values()) {
			Entry<T> entry = lane.poll(nowMs);
			if (entry != null) {
				this.size--;
				this.served.add(1, nowMs);
				return entry.item;
			}
		}
		return null;
	}

	/**
	 * Removes the entries whose time is over, which are to be answered at once.
	 * @param nowMs the time in milliseconds
	 * @return the entries
	 */
	public List<T> removeExpired(long nowMs) {
		List<T> expired = new ArrayList<>();
		for (Lane<T> lane : this.lanes.values()) {
			lane.removeExpired(nowMs, expired);
		}
		this.size -= expired.size();
		return expired;
	}

	/**
	 * Removes an entry whose caller has disconnected.
	 * @param item the entry
	 * @return whether the entry was waiting
	 */
	public boolean remove(T item) {
		for (Lane<T> lane : this.lanes.values()) {
			if (lane.remove(item)) {
				this.size--;
				return true;
			}
		}
		return false;
	}

	/**
	 * Returns when the next entry expires.
	 * @return the time in milliseconds, or the largest number if the queue is empty
	 */
	public long nextExpiryMs() {
		return this.lanes.values().stream().mapToLong(Lane::nextExpiryMs).min().orElse(Long.MAX_VALUE);
	}

	/**
	 * Returns the number of entries.
	 * @return the number
	 */
	public int size() {
		return this.size;
	}

	private void add(Entry<T> entry) {
		this.lanes.get(entry.place.priority()).add(entry);
		this.size++;
	}

	private Entry<T> removeBelow(Priority priority) {
		for (int ordinal = Priority.values().length - 1; ordinal > priority.ordinal(); ordinal--) {
			Entry<T> removed = this.lanes.get(Priority.values()[ordinal]).removeNewestOfLongest();
			if (removed != null) {
				this.size--;
				return removed;
			}
		}
		return null;
	}

	private long retryAfterMs(long nowMs) {
		return this.spread.retryAfterMs(this.size, Math.max(1, this.served.ratePerS(nowMs)));
	}

	/**
	 * Where an entry stands among the others.
	 *
	 * @param team the team
	 * @param weight the weight of the team
	 * @param priority the priority
	 * @param tokens the size of the request in tokens
	 * @param deadlineMs the time in milliseconds at which the caller gives up
	 */
	public record Place(String team, int weight, Priority priority, double tokens, long deadlineMs) {

	}

	/**
	 * The bounds of a queue.
	 *
	 * @param maxEntries the number of entries
	 * @param maxWaitMs the longest wait in milliseconds
	 */
	public record Limits(int maxEntries, long maxWaitMs) {

	}

	private record Entry<T>(T item, Place place, long expiresAtMs) {

	}

	/**
	 * The entries of one priority, by team.
	 */
	private static final class Lane<T> {

		private final Map<String, TeamEntries<T>> teams = new HashMap<>();

		private double virtualTime;

		void add(Entry<T> entry) {
			TeamEntries<T> team = this.teams.computeIfAbsent(entry.place.team(),
					(key) -> new TeamEntries<>(this.virtualTime));
			team.entries.addLast(entry);
		}

		Entry<T> poll(long nowMs) {
			TeamEntries<T> next = null;
			Entry<T> first = null;
			for (TeamEntries<T> team : this.teams.values()) {
				Entry<T> entry = team.firstAlive(nowMs);
				if (entry != null && (next == null || team.startTag < next.startTag)) {
					next = team;
					first = entry;
				}
			}
			if (next == null) {
				return null;
			}
			next.entries.remove(first);
			this.virtualTime = Math.max(this.virtualTime, next.startTag);
			next.startTag += first.place.tokens() / Math.max(1, first.place.weight());
			removeEmptyTeams();
			return first;
		}

		int size() {
			return this.teams.values().stream().mapToInt((team) -> team.entries.size()).sum();
		}

		int ahead(String teamId) {
			TeamEntries<T> own = this.teams.get(teamId);
			int turns = (own != null) ? own.entries.size() : 0;
			return this.teams.values().stream().mapToInt((team) -> Math.min(team.entries.size(), turns)).sum();
		}

		private void removeEmptyTeams() {
			this.teams.values().removeIf((team) -> team.entries.isEmpty() && team.startTag <= this.virtualTime);
		}

		void removeExpired(long nowMs, List<T> expired) {
			for (TeamEntries<T> team : this.teams.values()) {
				Iterator<Entry<T>> iterator = team.entries.iterator();
				while (iterator.hasNext()) {
					Entry<T> entry = iterator.next();
					if (entry.expiresAtMs <= nowMs) {
						expired.add(entry.item);
						iterator.remove();
					}
				}
			}
			removeEmptyTeams();
		}

		boolean remove(T item) {
			return this.teams.values().stream().anyMatch((team) -> team.entries.removeIf((e) -> e.item == item));
		}

		Entry<T> removeNewestOfLongest() {
			TeamEntries<T> longest = null;
			for (TeamEntries<T> team : this.teams.values()) {
				if (longest == null || team.entries.size() > longest.entries.size()) {
					longest = team;
				}
			}
			return (longest != null) ? longest.entries.pollLast() : null;
		}

		long nextExpiryMs() {
			return this.teams.values()
				.stream()
				.flatMap((team) -> team.entries.stream())
				.mapToLong(Entry::expiresAtMs)
				.min()
				.orElse(Long.MAX_VALUE);
		}

	}

	private static final class TeamEntries<T> {

		private final Deque<Entry<T>> entries = new ArrayDeque<>();

		private double startTag;

		private TeamEntries(double startTag) {
			this.startTag = startTag;
		}

		private Entry<T> firstAlive(long nowMs) {
			for (Entry<T> entry : this.entries) {
				if (entry.expiresAtMs > nowMs) {
					return entry;
				}
			}
			return null;
		}

	}

}
