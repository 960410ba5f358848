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
 * Requests that wait for capacity of a server. The queue is bounded by size and time. It
 * serves higher priorities first and the teams of one priority by start-time fair
 * queueing, so a team with many entries does not delay the others.
 *
 * @param <T> the type of the entries
 */
public final class RequestQueue<T> {

	private static final double MS_PER_S = 1_000;

	private static final double MIN_RATE_PER_S = 0.5;

	private final Map<Priority, PriorityLevel<T>> levels = new EnumMap<>(Priority.class);

	private final RetryAfterCalculator retryAfterCalculator;

	private final DecayingSum served;

	private int size;

	/**
	 * Creates an empty queue.
	 * @param seed the seed of the jitter in retry times
	 */
	public RequestQueue(long seed) {
		this.retryAfterCalculator = new RetryAfterCalculator(seed);
		this.served = new DecayingSum(5 * MS_PER_S, 0);
		for (Priority priority : Priority.values()) {
			this.levels.put(priority, new PriorityLevel<>());
		}
	}

	/**
	 * Adds an entry.
	 * @param item the entry
	 * @param place the attributes that determine the position of the entry
	 * @param limits the bounds of the queue
	 * @param nowMs the time in milliseconds
	 * @return whether the entry waits, and which entry it replaced
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
		Entry<T> displaced = (limits.maxEntries() > 0) ? removeLowerThan(place.priority()) : null;
		if (displaced == null) {
			return new QueueOffer.Refused<>(retryAfterMs(nowMs));
		}
		add(entry);
		return new QueueOffer.Displaced<>(displaced.item, retryAfterMs(nowMs));
	}

	// Counts the entries that are served before a new one: all entries of higher priority
	// and, because teams of equal priority alternate, at most as many entries of each
	// team as the request's own team has. Without a recent service rate the wait is
	// unknown
	// and estimated as 0.
	private double expectedWaitMs(Place place, long nowMs) {
		double ratePerS = this.served.ratePerS(nowMs);
		if (ratePerS < MIN_RATE_PER_S) {
			return 0;
		}
		int ahead = 0;
		for (Map.Entry<Priority, PriorityLevel<T>> entry : this.levels.entrySet()) {
			if (entry.getKey().compareTo(place.priority()) < 0) {
				ahead += entry.getValue().size();
			}
		}
		ahead += this.levels.get(place.priority()).entriesAhead(place.team());
		return MS_PER_S * ahead / ratePerS;
	}

	/**
	 * Takes the next entry that has not expired.
	 * @param nowMs the time in milliseconds
	 * @return the entry, or null if none waits
	 */
	public T poll(long nowMs) {
		for (PriorityLevel<T> level : this.levels.values()) {
			Entry<T> entry = level.poll(nowMs);
			if (entry != null) {
				this.size--;
				this.served.add(1, nowMs);
				return entry.item;
			}
		}
		return null;
	}

	/**
	 * Removes the expired entries. Their callers must be answered at once.
	 * @param nowMs the time in milliseconds
	 * @return the entries
	 */
	public List<T> removeExpired(long nowMs) {
		List<T> expired = new ArrayList<>();
		for (PriorityLevel<T> level : this.levels.values()) {
			level.removeExpired(nowMs, expired);
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
		for (PriorityLevel<T> level : this.levels.values()) {
			if (level.remove(item)) {
				this.size--;
				return true;
			}
		}
		return false;
	}

	/**
	 * Returns when the next entry expires.
	 * @return the time in milliseconds, or {@link Long#MAX_VALUE} if the queue is empty
	 */
	public long nextExpiryMs() {
		return this.levels.values().stream().mapToLong(PriorityLevel::nextExpiryMs).min().orElse(Long.MAX_VALUE);
	}

	/**
	 * Returns the number of entries.
	 * @return the number
	 */
	public int size() {
		return this.size;
	}

	private void add(Entry<T> entry) {
		this.levels.get(entry.place.priority()).add(entry);
		this.size++;
	}

	private Entry<T> removeLowerThan(Priority priority) {
		for (int ordinal = Priority.values().length - 1; ordinal > priority.ordinal(); ordinal--) {
			Entry<T> removed = this.levels.get(Priority.values()[ordinal]).removeNewestOfLargestTeam();
			if (removed != null) {
				this.size--;
				return removed;
			}
		}
		return null;
	}

	private long retryAfterMs(long nowMs) {
		return this.retryAfterCalculator.retryAfterMs(this.size, Math.max(1, this.served.ratePerS(nowMs)));
	}

	/**
	 * The attributes that determine the position and the expiry of an entry.
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
	 * @param maxEntries the maximum number of entries
	 * @param maxWaitMs the longest wait in milliseconds
	 */
	public record Limits(int maxEntries, long maxWaitMs) {

	}

	private record Entry<T>(T item, Place place, long expiresAtMs) {

	}

	/**
	 * The entries of one priority, by team.
	 */
	private static final class PriorityLevel<T> {

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
				Entry<T> entry = team.firstUnexpired(nowMs);
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

		int entriesAhead(String teamId) {
			TeamEntries<T> own = this.teams.get(teamId);
			int ownEntries = (own != null) ? own.entries.size() : 0;
			return this.teams.values().stream().mapToInt((team) -> Math.min(team.entries.size(), ownEntries)).sum();
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

		Entry<T> removeNewestOfLargestTeam() {
			TeamEntries<T> largest = null;
			for (TeamEntries<T> team : this.teams.values()) {
				if (largest == null || team.entries.size() > largest.entries.size()) {
					largest = team;
				}
			}
			return (largest != null) ? largest.entries.pollLast() : null;
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

		private Entry<T> firstUnexpired(long nowMs) {
			for (Entry<T> entry : this.entries) {
				if (entry.expiresAtMs > nowMs) {
					return entry;
				}
			}
			return null;
		}

	}

}
