package io.fescuehold.core.limits;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.random.RandomGenerator;

import io.fescuehold.core.servers.ServerState;

/**
 * Limits on the requests a second that overloaded servers take from all daemons together.
 * Each daemon has an allowance, a part of the limit in proportion to its load. In each
 * second it may send the whole number of requests of its allowance, and one more with the
 * probability of the remaining fraction; what is not used is lost. The sum over all
 * daemons then stays near the limit however many they are, also after a pause.
 * <p>
 * A brittle server fails if it has to reject too many requests in a second. It gets no
 * more requests at a time than it runs, each daemon its part. After a rejection it gets
 * no more requests a second than it could reject, and twice as many with each second
 * without another one. Not thread-safe: confined to one thread.
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

	/** The time in which the limit of a brittle server doubles after a rejection. */
	private static final long DOUBLING_MS = 1_000;

	/** The time after a rejection in which the limit has grown a thousandfold. */
	static final long RECOVERY_MS = 10 * DOUBLING_MS;

	/** A server is brittle for this time after a response that says so. */
	static final long BRITTLE_MS = 10_000;

	/** Rejections that are passed on are at least this far apart. */
	private static final long MIN_PUBLISHED_REJECTION_MS = 200;

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
	 * Records that a server is brittle.
	 * @param serverId the instance id of the server
	 * @param rejectionsPerS the rejections a second that it bears
	 * @param rejected whether it rejected the request for want of room
	 * @param nowMs the time in milliseconds
	 * @return whether it has not been known to be brittle, or has not rejected a request
	 * lately
	 */
	public boolean recordBrittle(String serverId, double rejectionsPerS, boolean rejected, long nowMs) {
		Limit limit = this.limits.computeIfAbsent(serverId, (id) -> new Limit());
		boolean changed = nowMs >= limit.brittleUntilMs || (rejected && nowMs - limit.rejectedAtMs >= RECOVERY_MS);
		limit.brittleUntilMs = nowMs + BRITTLE_MS;
		if (rejected) {
			recordRejection(limit, rejectionsPerS, nowMs);
		}
		return changed;
	}

	/**
	 * Records that a server no longer says that it is brittle.
	 * @param serverId the instance id of the server
	 * @param sentAtMs when the request was sent that the response answers, in
	 * milliseconds
	 */
	public void recordNotBrittle(String serverId, long sentAtMs) {
		Limit limit = this.limits.get(serverId);
		// A response to an earlier request may have overtaken the one that said so.
		if (limit != null && sentAtMs > limit.brittleUntilMs - BRITTLE_MS) {
			limit.brittleUntilMs = Math.min(limit.brittleUntilMs, sentAtMs);
		}
	}

	private void recordRejection(Limit limit, double rejectionsPerS, long rejectedAtMs) {
		limit.rejectionsPerS = rejectionsPerS;
		limit.rejectedAtMs = rejectedAtMs;
		limit.slice = Long.MIN_VALUE;
		if (rejectedAtMs - limit.publishedRejectionAtMs >= MIN_PUBLISHED_REJECTION_MS) {
			limit.publishedRejectionAtMs = rejectedAtMs;
			limit.version = ++this.version;
		}
	}

	/**
	 * Returns whether this daemon may have another request outstanding at a server. The
	 * loads of the other daemons are known too late to rely on them alone, so that each
	 * daemon keeps to a part of the slots of a brittle server as well.
	 * @param server the server
	 * @param loadFraction the fraction of the fleet's load on the service that this
	 * daemon carries
	 * @param nowMs the time in milliseconds
	 * @return whether it is not brittle, or can run another request of this daemon at
	 * once
	 */
	public boolean hasRoom(ServerState server, double loadFraction, long nowMs) {
		Limit limit = this.limits.get(server.server().id());
		if (limit == null || nowMs >= limit.brittleUntilMs) {
			return true;
		}
		long slice = Math.floorDiv(nowMs + this.phaseMs, SLICE_MS);
		if (slice != limit.roomSlice) {
			limit.roomSlice = slice;
			limit.room = round(SAFETY_FACTOR * server.server().slots() * loadFraction);
		}
		return server.load() < server.server().slots() && server.ownRequests() < limit.room;
	}

	// Rounds at random, so that the sum over all daemons is right however small the
	// parts.
	private int round(double value) {
		double whole = Math.floor(value);
		return (int) whole + ((this.random.nextDouble() < value - whole) ? 1 : 0);
	}

	/**
	 * Returns whether the requests a second to a server are limited.
	 * @param serverId the instance id of the server
	 * @param nowMs the time in milliseconds
	 * @return whether it named a limit or has rejected a request lately
	 */
	public boolean isLimited(String serverId, long nowMs) {
		return inForce(serverId, nowMs) != null;
	}

	/**
	 * Removes limits that no response has named for too long. Called from time to time.
	 * @param nowMs the time in milliseconds
	 */
	public void expire(long nowMs) {
		this.limits.values()
			.removeIf((limit) -> nowMs - limit.namedAtMs >= EXPIRY_MS && nowMs - limit.rejectedAtMs >= EXPIRY_MS
					&& nowMs >= limit.brittleUntilMs);
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
			limit.slice = slice;
			limit.remaining = round(allowancePerS(limit, loadFraction, nowMs) * SLICE_MS / MS_PER_S);
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
			sumPerS += (limit != null) ? allowancePerS(limit, loadFraction, nowMs) : 0;
		}
		return (sumPerS > 0) ? Math.round(Math.min(EXPIRY_MS, MS_PER_S / sumPerS)) : EXPIRY_MS;
	}

	private static double allowancePerS(Limit limit, double loadFraction, long nowMs) {
		double perS = Double.POSITIVE_INFINITY;
		if (limit.isNamed(nowMs)) {
			perS = limit.perS;
		}
		if (limit.isRecovering(nowMs)) {
			double grown = limit.rejectionsPerS * Math.pow(2, (nowMs - limit.rejectedAtMs) / (double) DOUBLING_MS);
			perS = Math.min(perS, grown);
		}
		return SAFETY_FACTOR * Math.max(MIN_LIMIT_PER_S, perS) * loadFraction;
	}

	private Limit inForce(String serverId, long nowMs) {
		Limit limit = this.limits.get(serverId);
		return (limit != null && (limit.isNamed(nowMs) || limit.isRecovering(nowMs))) ? limit : null;
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
					Math.max(0, nowMs - entry.getValue().namedAtMs), entry.getValue().rejectionsPerS,
					Math.max(0, nowMs - entry.getValue().rejectedAtMs)))
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
			mergeRejection(update, nowMs);
		}
	}

	private void mergeRejection(RequestLimitUpdate update, long nowMs) {
		if (update.rejectionsPerS() == null || update.rejectedAgeMs() >= RECOVERY_MS) {
			return;
		}
		Limit limit = this.limits.computeIfAbsent(update.serverId(), (id) -> new Limit());
		long rejectedAtMs = nowMs - update.rejectedAgeMs();
		if (rejectedAtMs > limit.rejectedAtMs) {
			limit.brittleUntilMs = Math.max(limit.brittleUntilMs, rejectedAtMs + BRITTLE_MS);
			recordRejection(limit, update.rejectionsPerS(), rejectedAtMs);
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

		private long namedAtMs = Long.MIN_VALUE / 2;

		/** The limit that was last passed on to other daemons. */
		private Double publishedPerS;

		private long publishedAtMs = Long.MIN_VALUE / 2;

		private long version;

		private long slice = Long.MIN_VALUE;

		private int remaining;

		private long roomSlice = Long.MIN_VALUE;

		/**
		 * The requests that this daemon may have outstanding while the server is brittle.
		 */
		private int room;

		private long brittleUntilMs = Long.MIN_VALUE / 2;

		/**
		 * The rejections a second that the server bears, or null if it rejected nothing.
		 */
		private Double rejectionsPerS;

		private long rejectedAtMs = Long.MIN_VALUE / 2;

		private long publishedRejectionAtMs = Long.MIN_VALUE / 2;

		private boolean isNamed(long nowMs) {
			return this.perS != null && nowMs - this.namedAtMs < EXPIRY_MS;
		}

		private boolean isRecovering(long nowMs) {
			return this.rejectionsPerS != null && nowMs - this.rejectedAtMs < RECOVERY_MS;
		}

	}

}
