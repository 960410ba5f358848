package io.fescuehold.core.limits;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.fescuehold.core.servers.LoadFractions;
import io.fescuehold.core.servers.RequestDemand;

/**
 * Decides at one host which requests to a service go on, wait in a bounded line or are
 * refused while the service has too little room. Nothing waits and nothing is refused
 * while the servers have free places. Under pressure this host sends its part of what the
 * service serves: first the requests of teams within their fair share, by rank, then the
 * others, by turns of the teams. Not thread-safe.
 *
 * @param <T> the type of the requests
 */
public final class ServiceAdmission<T> {

	/** The requests for each place up to which the servers always count as free. */
	private static final double FREE_PRESSURE = 3.5;

	/** The requests for each place below which every request goes on. */
	private static final double IDLE_PRESSURE = 1;

	/** The requests for each place below which callers that return go on. */
	private static final double RETURN_PRESSURE = 3;

	/** The requests for each place beyond which some servers may be full. */
	private static final double MAX_PRESSURE = 4;

	/** The requests for each place from which on no server takes more. */
	private static final double FULL_PRESSURE = 6;

	/**
	 * The part of the objective up to which the servers' own queues are used before teams
	 * are held to their fair share. One queue at the servers shares out the room better
	 * than many short lines on the hosts.
	 */
	private static final double FREE_PORTION = 0.55;

	/**
	 * The time in which the requests at the servers are brought back to as many as they
	 * serve without a wait that matters. Loads are known some 400 ms late, so a shorter
	 * time makes the load swing.
	 */
	private static final double CORRECTION_S = 0.8;

	/** For so long after the last sign of it a service counts as under pressure. */
	private static final long PRESSURE_HOLD_MS = 1_000;

	private static final double DEMAND_TIME_CONSTANT_MS = 1_000;

	private static final double MIN_PORTION = 0.5;

	private static final double MAX_PORTION = 1.5;

	private static final double MIN_RATE_PER_S = 0.5;

	private static final double MS_PER_S = 1_000;

	private static final double PACE_BURST_S = 0.3;

	private static final double WITHIN_TIME_CONSTANT_MS = 1_000;

	/** A host gets few requests of a small team, so its measured rate is noisy. */
	private static final double NOISE_DEVIATIONS = 0.5;

	private static final long TEAM_RETENTION_MS = 60_000;

	/** The least urgent rank, of requests of teams above their fair share. */
	private static final int OVER_SHARE_RANK = 10;

	private static final int MAX_WAITING = 64;

	/** The part of the time left that a request may wait. */
	private static final double MAX_WAIT_PORTION = 0.25;

	/** A caller with less of the usual time left has been refused before. */
	private static final double RETURNED_PORTION = 0.9;

	/** A longer limit than usual is forgotten after some hundred requests. */
	private static final long LIMIT_DECAY = 256;

	private static final int MAX_KINDS = 4_096;

	/** Callers return after at most this part of the time that they have left. */
	private static final double RETURN_PORTION = 0.3;

	private static final long MIN_RETURN_MS = 25;

	private final String service;

	private final ReturnSchedule returns;

	private final RequestQueue<T> line;

	private final ServiceSpeed speed = new ServiceSpeed();

	private final LoadFractions fractions = new LoadFractions();

	private final TeamShares shares = new TeamShares(DEMAND_TIME_CONSTANT_MS);

	private final TeamBucket pace;

	private final DecayingSum withinShare;

	/** The longest time limit of the callers by kind of request. */
	private final Map<String, Long> usualLimitsMs = new HashMap<>();

	private long objectiveMs = 1;

	private long pressureUntilMs = Long.MIN_VALUE;

	/**
	 * Creates an admission without requests.
	 * @param service the service
	 * @param returns when refused callers are asked to return
	 * @param nowMs the time in milliseconds
	 */
	public ServiceAdmission(String service, ReturnSchedule returns, long nowMs) {
		this.service = service;
		this.returns = returns;
		this.line = new RequestQueue<>(service.hashCode());
		this.pace = new TeamBucket(PACE_BURST_S, nowMs);
		this.withinShare = new DecayingSum(WITHIN_TIME_CONSTANT_MS, nowMs);
	}

	/**
	 * Decides on a request that has arrived.
	 * @param item the request
	 * @param demand what it asks for
	 * @param caller what is known of its caller
	 * @param room the room at the service
	 * @param nowMs the time in milliseconds
	 * @return the decision
	 */
	public ServiceDecision<T> offer(T item, RequestDemand demand, Caller caller, ServiceRoom room, long nowMs) {
		observe(room, nowMs);
		this.objectiveMs = Math.max(1, demand.objectiveMs());
		TeamDemand team = this.shares.recordOffered(demand.team(), 1, 1, nowMs);
		boolean returned = hasReturned(caller);
		if (!isKnown(room)) {
			return new ServiceDecision.Pass<>();
		}
		if (nowMs >= this.pressureUntilMs && this.line.size() == 0) {
			this.pace.reset();
			return new ServiceDecision.Pass<>();
		}
		double ratePerS = ratePerS(room);
		this.shares.refresh(ratePerS, nowMs - TEAM_RETENTION_MS, nowMs);
		boolean overShare = !team.isWithin(this.shares.fairPerS(1), NOISE_DEVIATIONS, nowMs);
		if (hasPlaces(room) || (returned && room.pressure() < RETURN_PRESSURE)) {
			this.pace.consume(ratePerS, 1, nowMs);
			return new ServiceDecision.Pass<>();
		}
		if (!overShare) {
			this.withinShare.add(1, nowMs);
			if (servesInTime(room)) {
				this.pace.consume(ratePerS, 1, nowMs);
				return new ServiceDecision.Pass<>();
			}
		}
		int rank = overShare ? OVER_SHARE_RANK : Math.clamp(demand.urgency(), 0, OVER_SHARE_RANK - 1);
		if (this.line.nextRank() > rank && this.pace.tryConsume(ratePerS, Priority.HIGH, 1, nowMs)) {
			return new ServiceDecision.Pass<>();
		}
		return waitOrRefuse(item, demand, caller, room, new Standing(rank, overShare, returned, ratePerS), nowMs);
	}

	private ServiceDecision<T> waitOrRefuse(T item, RequestDemand demand, Caller caller, ServiceRoom room,
			Standing standing, long nowMs) {
		double drainPerS = standing.overShare ? leftoverPerS(standing.ratePerS, nowMs) : standing.ratePerS;
		double serveMs = this.speed.expectedMs(room);
		long leftMs = demand.leftMs(nowMs);
		long latestMs = (long) Math.min(leftMs * MAX_WAIT_PORTION, leftMs - serveMs);
		// One who was refused once has no third try, so it may also be served late.
		long maxWaitMs = standing.returned ? latestMs : (long) Math.min(latestMs, this.objectiveMs - serveMs);
		RequestQueue.Place place = new RequestQueue.Place(demand.team(), 1, standing.rank, 1,
				nowMs + Math.max(0, latestMs), nowMs + caller.leftMs());
		ServiceDecision.Reason reason = standing.overShare ? ServiceDecision.Reason.OVER_SHARE
				: ServiceDecision.Reason.TOO_LATE;
		if (maxWaitMs <= 0 || this.line.expectedWaitMs(place, drainPerS) > maxWaitMs) {
			return new ServiceDecision.Refused<>(reason, retryAfterMs(caller.leftMs(), drainPerS, nowMs));
		}
		QueueOffer<T> offer = this.line.offer(item, place,
				new RequestQueue.Limits(MAX_WAITING, Math.max(1, latestMs), drainPerS), nowMs);
		return switch (offer) {
			case QueueOffer.Queued<T> queued -> new ServiceDecision.Wait<>(standing.overShare, null, 0);
			case QueueOffer.Displaced<T> displaced -> new ServiceDecision.Wait<>(standing.overShare,
					displaced.displaced(), retryAfterMs(caller.leftMs(), drainPerS, nowMs));
			case QueueOffer.Refused<T> refused -> new ServiceDecision.Refused<>(ServiceDecision.Reason.LINE_FULL,
					retryAfterMs(caller.leftMs(), drainPerS, nowMs));
		};
	}

	/**
	 * Takes the next request that may go on. To be called again, with the room that is
	 * left then, until there is none.
	 * @param room the room at the service
	 * @param nowMs the time in milliseconds
	 * @return the request, or null
	 */
	public T next(ServiceRoom room, long nowMs) {
		observe(room, nowMs);
		int rank = this.line.nextRank();
		if (rank == Integer.MAX_VALUE) {
			return null;
		}
		if (!isKnown(room)) {
			return this.line.poll(nowMs);
		}
		double ratePerS = ratePerS(room);
		if (hasPlaces(room) || (rank < OVER_SHARE_RANK && servesInTime(room))) {
			this.pace.consume(ratePerS, 1, nowMs);
			return this.line.poll(nowMs);
		}
		return this.pace.tryConsume(ratePerS, Priority.HIGH, 1, nowMs) ? this.line.poll(nowMs) : null;
	}

	/**
	 * Removes the requests that have waited as long as they may. They must go on or be
	 * refused at once.
	 * @param nowMs the time in milliseconds
	 * @return the requests
	 */
	public List<T> removeExpired(long nowMs) {
		return this.line.removeExpired(nowMs);
	}

	/**
	 * Removes a request whose caller has left.
	 * @param item the request
	 * @return whether it was waiting
	 */
	public boolean remove(T item) {
		return this.line.remove(item);
	}

	/**
	 * Returns the number of requests that wait.
	 * @return the number
	 */
	public int waiting() {
		return this.line.size();
	}

	/**
	 * Records a request that was served.
	 * @param sent the room when it was sent
	 * @param room the room now
	 * @param tookMs the time until the response in milliseconds
	 * @param nowMs the time in milliseconds
	 */
	public void served(ServiceRoom sent, ServiceRoom room, long tookMs, long nowMs) {
		if (sent.slots() > 0 && room.slots() > 0) {
			this.speed.record((sent.pressure() + room.pressure()) / 2, tookMs, nowMs);
		}
	}

	/**
	 * Returns when a refused caller is asked to return: when the service is expected to
	 * have room, one after the other, but within the time for which callers wait.
	 * @param callerLeftMs the time that the caller has left in milliseconds
	 * @param defaultMs the time in milliseconds if the speed of the service is not known
	 * @param room the room at the service
	 * @param nowMs the time in milliseconds
	 * @return the time in milliseconds from now
	 */
	public long retryAfterMs(long callerLeftMs, long defaultMs, ServiceRoom room, long nowMs) {
		return isKnown(room) ? retryAfterMs(callerLeftMs, ratePerS(room), nowMs) : defaultMs;
	}

	private long retryAfterMs(long callerLeftMs, double drainPerS, long nowMs) {
		long stepMs = Math.max(1, (long) (MS_PER_S / drainPerS));
		long maxMs = Math.max(MIN_RETURN_MS, (long) (RETURN_PORTION * callerLeftMs));
		long drainedAtMs = nowMs + Math.min(maxMs / 2, stepMs * this.line.size());
		return this.returns.returnAtMs(this.service, drainedAtMs, stepMs, MIN_RETURN_MS, maxMs - (drainedAtMs - nowMs),
				nowMs) - nowMs;
	}

	/**
	 * Returns the state for diagnostics.
	 * @param room the room at the service
	 * @param nowMs the time in milliseconds
	 * @return the state in a form that Jackson can serialise
	 */
	public Map<String, Object> dump(ServiceRoom room, long nowMs) {
		Map<String, Object> dump = new TreeMap<>();
		dump.put("room", room);
		dump.put("servedPerS", this.speed.servedPerS(room));
		dump.put("fraction", fraction(room));
		dump.put("waiting", this.line.size());
		dump.put("waitingByRankAndTeam", this.line.sizes());
		return dump;
	}

	private void observe(ServiceRoom room, long nowMs) {
		this.fractions.record(this.service, room.ownRequests(), room.otherRequests(), nowMs);
		if (!isFree(room)) {
			this.pressureUntilMs = nowMs + PRESSURE_HOLD_MS;
		}
	}

	// The caller's limit counts from its first try, so a caller that returns has less of
	// it left.
	private boolean hasReturned(Caller caller) {
		if (this.usualLimitsMs.size() >= MAX_KINDS) {
			this.usualLimitsMs.clear();
		}
		long usualMs = this.usualLimitsMs.merge(caller.kind(), caller.leftMs(),
				(knownMs, leftMs) -> Math.max(leftMs, knownMs - (knownMs - leftMs) / LIMIT_DECAY));
		return caller.leftMs() < RETURNED_PORTION * usualMs;
	}

	// Without servers, or before the first response, there is nothing to decide by.
	private boolean isKnown(ServiceRoom room) {
		return room.slots() > 0 && this.speed.isKnown();
	}

	private boolean hasPlaces(ServiceRoom room) {
		return room.load() < IDLE_PRESSURE * room.slots();
	}

	/**
	 * Returns whether the servers' queues are far from full.
	 * @param room the room at the service
	 * @return whether a request that has waited as long as it may should go on
	 */
	public boolean isFree(ServiceRoom room) {
		return room.load() < freeLoad(room);
	}

	private double freeLoad(ServiceRoom room) {
		double inTime = FREE_PORTION * this.objectiveMs * this.speed.servedPerS(room) / MS_PER_S;
		return Math.clamp(inTime, FREE_PRESSURE * room.slots(), MAX_PRESSURE * room.slots());
	}

	// Requests of teams within their fair share wait only if the servers would reject
	// them, because one queue at the servers shares out the room better.
	private boolean servesInTime(ServiceRoom room) {
		return isFree(room) || room.pressure() < FULL_PRESSURE;
	}

	private double fraction(ServiceRoom room) {
		return this.fractions.fraction(this.service, room.hosts());
	}

	private double ratePerS(ServiceRoom room) {
		double servedPerS = this.speed.servedPerS(room);
		double correctionPerS = (freeLoad(room) - room.load()) / CORRECTION_S;
		double sentPerS = Math.clamp(servedPerS + correctionPerS, MIN_PORTION * servedPerS, MAX_PORTION * servedPerS);
		return Math.max(MIN_RATE_PER_S, fraction(room) * sentPerS);
	}

	private double leftoverPerS(double ratePerS, long nowMs) {
		return Math.max(MIN_RATE_PER_S, ratePerS - this.withinShare.ratePerS(nowMs));
	}

	/**
	 * What is known of the caller of a request.
	 *
	 * @param kind the kind of request, of which all callers have the same time limit
	 * @param leftMs the time that the caller has left in milliseconds, also beyond the
	 * limit of the request
	 */
	public record Caller(String kind, long leftMs) {

	}

	private record Standing(int rank, boolean overShare, boolean returned, double ratePerS) {

	}

}
