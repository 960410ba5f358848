package io.fescuehold.core.limits;

import java.util.Arrays;

/**
 * Weighted max-min fairness: the level per unit of weight at which the demands, each cut
 * off at its weight times the level, use up the capacity.
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
		double weightLeft = 0;
		for (int index = 0; index < order.length; index++) {
			order[index] = index;
			weightLeft += weights[index];
		}
		Arrays.sort(order, (a, b) -> Double.compare(demands[a] / weights[a], demands[b] / weights[b]));
		double capacityLeft = capacity;
		for (int index : order) {
			double level = capacityLeft / weightLeft;
			if (demands[index] / weights[index] > level) {
				return Math.max(0, level);
			}
			capacityLeft -= demands[index];
			weightLeft -= weights[index];
		}
		return Double.POSITIVE_INFINITY;
	}

}
