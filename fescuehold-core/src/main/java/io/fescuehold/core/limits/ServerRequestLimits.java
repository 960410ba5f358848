package io.fescuehold.core.limits;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * Limits on the requests a second that overloaded servers take from all daemons together.
 * Each daemon has an allowance, a part of the limit in proportion to its load. In each
 * second it may send the whole number of requests of its allowance, and one more with the
 * probability of the remaining fraction; what is not used is lost. The sum over all
 * daemons then stays near the limit however many they are, also after a pause. Not
 * thread-safe: confined to one thread.
 */
public final class ServerRequestLimits {

	/**
	 * The part of a limit that is used. The rest covers unequal views of the daemons'
	 * loads and the rounding of their allowances.
	 */
	static final double SAFETY_FACTOR = 0.8;

	/**
	 * Lower limits count as this one, because only responses tell that a limit has ended.
	 */
	static final double MIN_LIMIT_PER_S = 0.2;

	/** A limit ends if no response has named it for this time. */
	static final long EXPIRY_MS = 60_000;

	/** A limit that is still named is passed on at this interval. */
	private static final long REFRESH_MS = EXPIRY_MS / 4;

	/** The relative change from which on a limit is passed on. */
	private static final double MIN_PUBLISHED_CHANGE = 0.1;

	private static final long SLICE_MS = 1_000;

	private static final double MS_PER_S = 1_000;

	private final RandomGenerator random;

	/** Spreads the starts of the slices over the daemons. */
	private final long phaseMs;

	private final Map<String, Limit> limits = new HashMap<>();

	private long version;

	/**
	 * Creates an instance without limits.
	 * @param random the source of random choices
	 */
	public ServerRequestLimits(RandomGenerator random) {
		this.random = random;
		this.phaseMs = random.nextLong(SLICE_MS);
	}

	/**
	 * Records what a server named in a response.
	 * @param serverId the instance id of the server
	 * @param limitPerS the limit in requests a second, or null if it named none
	 * @param sentAtMs when the request was sent that the response answers, in
	 * milliseconds
	 * @param nowMs the time in milliseconds
	 * @return whether the limit has begun, ended or changed significantly
	 */
	public boolean record(String serverId, Double limitPerS, long sentAtMs, long nowMs) {
		Limit limit = this.limits.get(serverId);
		if (limitPerS == null && (limit == null || limit.perS == null || sentAtMs <= limit.namedAtMs)) {
			// A response to an earlier request may have overtaken the one with the limit.
			return false;
		}
		return update(serverId, limitPerS, nowMs);
	}

	private boolean update(String serverId, Double limitPerS, long namedAtMs) {
		Limit limit = this.limits.computeIfAbsent(serverId, (id) -> new Limit());
		limit.perS = limitPerS;
		limit.namedAtMs = namedAtMs;
		boolean changed = isSignificant(limit.publishedPerS, limitPerS);
		if (changed || namedAtMs - limit.publishedAtMs >= REFRESH_MS) {
			limit.publishedPerS = limitPerS;
			limit.publishedAtMs = namedAtMs;
			limit.version = ++this.version;
		}
		return changed;
	}

	// A server may name a slightly different limit in each response.
	private static boolean isSignificant(Double publishedPerS, Double perS) {
		return (publishedPerS == null || perS == null) ? !Objects.equals(publishedPerS, perS)
				: Math.abs(perS - publishedPerS) > MIN_PUBLISHED_CHANGE * publishedPerS;
	}

	/**
	 * Removes limits that no response has named for too long. Called from time to time.
	 * @param nowMs the time in milliseconds
	 */
	public void expire(long nowMs) {
		this.limits.values().removeIf((limit) -> nowMs - limit.namedAtMs >= EXPIRY_MS);
	}

	/**
	 * Returns whether no limit is known.
	 * @return whether no server has named a limit lately
	 */
	public boolean isEmpty() {
		return this.limits.isEmpty();
	}

	/**
	 * Returns whether a request may be sent to a server now.
	 * @param serverId the instance id of the server
	 * @param loadFraction the fraction of the fleet's load on the service that this
	 * daemon carries
	 * @param nowMs the time in milliseconds
	 * @return whether the server has no limit or this daemon's allowance is not used up
	 */
	public boolean isAllowed(String serverId, double loadFraction, long nowMs) {
		Limit limit = inForce(serverId, nowMs);
		if (limit == null) {
			return true;
		}
		long slice = Math.floorDiv(nowMs + this.phaseMs, SLICE_MS);
		if (slice != limit.slice) {
			double allowed = allowancePerS(limit, loadFraction) * SLICE_MS / MS_PER_S;
			double whole = Math.floor(allowed);
			limit.slice = slice;
			limit.remaining = (int) whole + ((this.random.nextDouble() < allowed - whole) ? 1 : 0);
		}
		return limit.remaining > 0;
	}

	/**
	 * Counts a request that is sent to a server.
	 * @param serverId the instance id of the server
	 */
	public void consume(String serverId) {
		Limit limit = this.limits.get(serverId);
		if (limit != null) {
			limit.remaining--;
		}
	}

	/**
	 * Returns the mean time until this daemon may send a request to one of several
	 * servers that all limit their requests.
	 * @param serverIds the instance ids of the servers
	 * @param loadFraction the fraction of the fleet's load on the service that this
	 * daemon carries
	 * @param nowMs the time in milliseconds
	 * @return the time in milliseconds
	 */
	public long meanWaitMs(Collection<String> serverIds, double loadFraction, long nowMs) {
		double sumPerS = 0;
		for (String serverId : serverIds) {
			Limit limit = inForce(serverId, nowMs);
			sumPerS += (limit != null) ? allowancePerS(limit, loadFraction) : 0;
		}
		return (sumPerS > 0) ? Math.round(Math.min(EXPIRY_MS, MS_PER_S / sumPerS)) : EXPIRY_MS;
	}

	private static double allowancePerS(Limit limit, double loadFraction) {
		return SAFETY_FACTOR * Math.max(MIN_LIMIT_PER_S, limit.perS) * loadFraction;
	}

	private Limit inForce(String serverId, long nowMs) {
		Limit limit = this.limits.get(serverId);
		return (limit != null && limit.perS != null && nowMs - limit.namedAtMs < EXPIRY_MS) ? limit : null;
	}

	/**
	 * Returns the limits that changed since a version.
	 * @param sinceVersion a version that {@link #version()} returned, or 0 for all
	 * @param nowMs the time in milliseconds
	 * @return the limits, ended ones included
	 */
	public List<RequestLimitUpdate> updatesSince(long sinceVersion, long nowMs) {
		return this.limits.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().version > sinceVersion)
			.map((entry) -> new RequestLimitUpdate(entry.getKey(), entry.getValue().perS,
					Math.max(0, nowMs - entry.getValue().namedAtMs)))
			.toList();
	}

	/**
	 * Adds the limits that another daemon knows. The newest response of a server counts.
	 * @param updates the limits
	 * @param nowMs the time in milliseconds
	 */
	public void merge(Collection<RequestLimitUpdate> updates, long nowMs) {
		for (RequestLimitUpdate update : updates) {
			Limit limit = this.limits.get(update.serverId());
			long namedAtMs = nowMs - update.ageMs();
			if (update.ageMs() < EXPIRY_MS && (limit == null || namedAtMs > limit.namedAtMs)) {
				update(update.serverId(), update.limitPerS(), namedAtMs);
			}
		}
	}

	/**
	 * Returns the version of the limits.
	 * @return a number that grows with each change that other daemons need
	 */
	public long version() {
		return this.version;
	}

	private static final class Limit {

		/** The limit in requests a second, or null if it has ended. */
		private Double perS;

		private long namedAtMs;

		/** The limit that was last passed on to other daemons. */
		private Double publishedPerS;

		private long publishedAtMs = Long.MIN_VALUE / 2;

		private long version;

		private long slice = Long.MIN_VALUE;

		private int remaining;

	}

}
