package io.fescuehold.core.servers;

import java.util.HashMap;
import java.util.Map;

/**
 * The fraction of the fleet's load on each service that this daemon carries, smoothed
 * over a few seconds. The fractions of all daemons add up to about 1.
 */
public final class LoadFractions {

	/** The time in which the weight of a sample halves. */
	static final long HALF_LIFE_MS = 1_500;

	/**
	 * The part of the sum that all daemons share equally, so that one whose load begins
	 * is not left without any.
	 */
	static final double EQUAL_PART = 0.25;

	private final Map<String, Sums> sumsByService = new HashMap<>();

	/**
	 * Records the load on a service.
	 * @param service the service
	 * @param ownRequests the requests in flight from this daemon
	 * @param otherRequests the requests in flight from all other daemons
	 * @param nowMs the time in milliseconds
	 */
	public void record(String service, int ownRequests, int otherRequests, long nowMs) {
		Sums sums = this.sumsByService.computeIfAbsent(service, (name) -> new Sums());
		double weight = sums.empty ? 0 : Math.pow(0.5, (nowMs - sums.updatedMs) / (double) HALF_LIFE_MS);
		sums.own = weight * sums.own + (1 - weight) * ownRequests;
		sums.others = weight * sums.others + (1 - weight) * otherRequests;
		sums.updatedMs = nowMs;
		sums.empty = false;
	}

	/**
	 * Returns the fraction of the load on a service that this daemon carries.
	 * @param service the service
	 * @param daemons the number of daemons, whatever their state
	 * @return a number from 0 to 1
	 */
	public double fraction(String service, int daemons) {
		double equalFraction = 1.0 / Math.max(1, daemons);
		Sums sums = this.sumsByService.get(service);
		if (sums == null || sums.own + sums.others <= 0) {
			return equalFraction;
		}
		return EQUAL_PART * equalFraction + (1 - EQUAL_PART) * sums.own / (sums.own + sums.others);
	}

	/**
	 * Removes all records, which are outdated when they are needed again.
	 */
	public void clear() {
		this.sumsByService.clear();
	}

	private static final class Sums {

		private double own;

		private double others;

		private long updatedMs;

		private boolean empty = true;

	}

}
