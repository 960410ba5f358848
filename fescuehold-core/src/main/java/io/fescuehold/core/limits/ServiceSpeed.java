package io.fescuehold.core.limits;

/**
 * How many requests a service serves per second, from the times of this host's requests.
 * While places are free a place serves one request in the time of a request; while
 * requests wait, the rate is the number of requests at the servers by that time (Little's
 * law).
 */
final class ServiceSpeed {

	private static final double TIME_CONSTANT_MS = 3_000;

	private static final double MS_PER_S = 1_000;

	private final DecayingSum requestsPerPlace = new DecayingSum(TIME_CONSTANT_MS, 0);

	private final DecayingSum timesMs = new DecayingSum(TIME_CONSTANT_MS, 0);

	private double perPlacePerS;

	/**
	 * Records a request that was served.
	 * @param pressure the requests for each place, the larger of when it was sent and now
	 * @param tookMs the time until the response in milliseconds
	 * @param nowMs the time in milliseconds
	 */
	void record(double pressure, long tookMs, long nowMs) {
		this.requestsPerPlace.add(Math.max(1, pressure), nowMs);
		this.timesMs.add(Math.max(1, tookMs), nowMs);
		this.perPlacePerS = MS_PER_S * this.requestsPerPlace.sum(nowMs) / this.timesMs.sum(nowMs);
	}

	/**
	 * Returns whether the service has served a request of this host.
	 * @return whether the rate is known
	 */
	boolean isKnown() {
		return this.perPlacePerS > 0;
	}

	/**
	 * Returns the requests that the service serves per second.
	 * @param room the room now
	 * @return the rate, 0 while it is not known
	 */
	double servedPerS(ServiceRoom room) {
		return room.slots() * this.perPlacePerS;
	}

	/**
	 * Returns the expected time of a request that is sent now.
	 * @param room the room now
	 * @return the time in milliseconds with the wait at the server, infinite while the
	 * rate is not known
	 */
	double expectedMs(ServiceRoom room) {
		return MS_PER_S * Math.max(room.load(), room.slots()) / servedPerS(room);
	}

}
