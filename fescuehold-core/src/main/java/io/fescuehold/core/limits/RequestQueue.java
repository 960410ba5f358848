package io.fescuehold.core.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

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

	/** By rank, the most urgent first. */
	private final SortedMap<Integer, PriorityLevel<T>> levels = new TreeMap<>();

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
		double ratePerS = (limits.ratePerS() > 0) ? limits.ratePerS() : this.served.ratePerS(nowMs);
		if (expectedWaitMs(place, ratePerS) > expiresAtMs - nowMs) {
			return new QueueOffer.Refused<>(retryAfterMs(nowMs));
		}
		if (this.size < limits.maxEntries()) {
			add(entry);
			return new QueueOffer.Queued<>();
		}
		Entry<T> displaced = (limits.maxEntries() > 0) ? removeLowerThan(place.rank()) : null;
		if (displaced == null) {
			return new QueueOffer.Refused<>(retryAfterMs(nowMs));
		}
		add(entry);
		return new QueueOffer.Displaced<>(displaced.item, retryAfterMs(nowMs));
	}

	/**
	 * Returns how long a new entry is expected to wait.
	 * @param place the attributes that determine its position
	 * @param ratePerS the entries taken per second
	 * @return the time in milliseconds, 0 if the rate is too small to be known
	 */
	double expectedWaitMs(Place place, double ratePerS) {
		return (ratePerS < MIN_RATE_PER_S) ? 0 : MS_PER_S * entriesAhead(place) / ratePerS;
	}

	// Counts the entries that are served before a new one: all entries of higher rank
	// and, because teams of equal rank alternate, at most as many entries of each team
	// as the request's own team has.
	private int entriesAhead(Place place) {
		int ahead = this.levels.headMap(place.rank()).values().stream().mapToInt(PriorityLevel::size).sum();
		PriorityLevel<T> level = this.levels.get(place.rank());
		return ahead + ((level != null) ? level.entriesAhead(place.team()) : 0);
	}

	/**
	 * Returns the rank of the next entry.
	 * @return the rank, or {@link Integer#MAX_VALUE} if the queue is empty
	 */
	int nextRank() {
		return this.levels.entrySet()
			.stream()
			.filter((level) -> level.getValue().size() > 0)
			.mapToInt(Map.Entry::getKey)
			.findFirst()
			.orElse(Integer.MAX_VALUE);
	}

	/**
	 * Returns the number of entries by rank and team.
	 * @return the numbers
	 */
	public Map<Integer, Map<String, Integer>> sizes() {
		Map<Integer, Map<String, Integer>> sizes = new TreeMap<>();
		this.levels.forEach((rank, level) -> {
			Map<String, Integer> teams = new TreeMap<>();
			level.teams.forEach((team, entries) -> teams.put(team, entries.entries.size()));
			teams.values().removeIf((size) -> size == 0);
			if (!teams.isEmpty()) {
				sizes.put(rank, teams);
			}
		});
		return sizes;
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
		this.levels.computeIfAbsent(entry.place.rank(), (rank) -> new PriorityLevel<>()).add(entry);
		this.size++;
	}

	private Entry<T> removeLowerThan(int rank) {
		List<PriorityLevel<T>> lower = new ArrayList<>(this.levels.tailMap(rank + 1).values());
		for (PriorityLevel<T> level : lower.reversed()) {
			Entry<T> removed = level.removeNewestOfLargestTeam();
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
	 * @param rank the rank, 0 is served first
	 * @param tokens the size of the request in tokens
	 * @param deadlineMs the time in milliseconds at which the caller gives up
	 * @param orderMs the entries of one rank and team are served in the order of this
	 * number, and in the order of their arrival if it is equal
	 */
	public record Place(String team, int weight, int rank, double tokens, long deadlineMs, long orderMs) {

		/**
		 * Creates a place of an entry that is served in the order of arrival.
		 * @param team the team
		 * @param weight the weight of the team
		 * @param priority the priority
		 * @param tokens the size of the request in tokens
		 * @param deadlineMs the time in milliseconds at which the caller gives up
		 */
		public Place(String team, int weight, Priority priority, double tokens, long deadlineMs) {
			this(team, weight, priority.ordinal(), tokens, deadlineMs, 0);
		}

	}

	/**
	 * The bounds of a queue.
	 *
	 * @param maxEntries the maximum number of entries
	 * @param maxWaitMs the longest wait in milliseconds
	 * @param ratePerS the rate at which entries are expected to be taken, or 0 to expect
	 * the rate of the past seconds
	 */
	public record Limits(int maxEntries, long maxWaitMs, double ratePerS) {

		/**
		 * Creates bounds of a queue whose rate is measured.
		 * @param maxEntries the maximum number of entries
		 * @param maxWaitMs the longest wait in milliseconds
		 */
		public Limits(int maxEntries, long maxWaitMs) {
			this(maxEntries, maxWaitMs, 0);
		}

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
			team.add(entry);
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
			return (largest != null && !largest.entries.isEmpty()) ? largest.entries.removeLast() : null;
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

		private final List<Entry<T>> entries = new ArrayList<>();

		private double startTag;

		private TeamEntries(double startTag) {
			this.startTag = startTag;
		}

		private void add(Entry<T> entry) {
			int index = this.entries.size();
			while (index > 0 && this.entries.get(index - 1).place.orderMs() > entry.place.orderMs()) {
				index--;
			}
			this.entries.add(index, entry);
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
