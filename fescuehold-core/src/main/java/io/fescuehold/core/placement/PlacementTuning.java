package io.fescuehold.core.placement;

import java.util.stream.Stream;

/**
 * Parameters of the placement policy.
 *
 * @param turnoverMs the time constant in milliseconds with which load reports and the
 * work of this router decay
 * @param reportGain how strongly a deviation of the reported load changes a server's
 * weight in the hash
 * @param ownGain the multiple with which a deviation of this router's own work counts;
 * limited to the number of routers
 * @param stayLow the relative load from which the first chats move off a server
 * @param stayHigh the relative load from which all chats move off a server
 */
public record PlacementTuning(double turnoverMs, double reportGain, double ownGain, double stayLow, double stayHigh) {

	/** The default parameters. */
	public static final PlacementTuning DEFAULT = new PlacementTuning(12_000, 3, 1, 0.8, 1.2);

	/**
	 * Parses parameters.
	 * @param text the five numbers in the order of the components, separated by commas
	 * @return the parameters
	 */
	public static PlacementTuning parse(String text) {
		double[] values = Stream.of(text.split(",")).mapToDouble(Double::parseDouble).toArray();
		return new PlacementTuning(values[0], values[1], values[2], values[3], values[4]);
	}

}
