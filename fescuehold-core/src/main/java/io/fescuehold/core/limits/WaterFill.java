package io.fescuehold.core.limits;

import java.util.Arrays;

/**
 * The water-filling algorithm of weighted max-min fairness: finds the level per unit of
 * weight at which the demands, each limited to its weight times the level, use up the
 * capacity.
 */
public final class WaterFill {

	private WaterFill() {
	}

	/**
	 * Returns the level.
	 * @param demands the demands
	 * @param weights the weights, above 0
	 * @param capacity the capacity
	 * @return the level, or infinity if the capacity covers every demand
	 */
	public static double level(double[] demands, double[] weights, double capacity) {
		Integer[] order = new Integer[demands.length];
		double remainingWeight = 0;
		for (int index = 0; index < order.length; index++) {
			order[index] = index;
			remainingWeight += weights[index];
		}
		Arrays.sort(order, (a, b) -> Double.compare(demands[a] / weights[a], demands[b] / weights[b]));
		double remainingCapacity = capacity;
		for (int index : order) {
			double level = remainingCapacity / remainingWeight;
			if (demands[index] / weights[index] > level) {
				return Math.max(0, level);
			}
			remainingCapacity -= demands[index];
			remainingWeight -= weights[index];
		}
		return Double.POSITIVE_INFINITY;
	}

}
