package io.fescuehold.core.placement;

import java.util.stream.Stream;

/**
 * Constants of the placement policy that the placement experiment varies.
 *
 * @param turnoverMs the time constant with which reports lose their weight and the
 * router's own work drains
 * @param reportGain how strongly a deviation of the reported load changes a server's
 * weight in the hash
 * @param ownGain how strongly a deviation of the router's own work counts, as the
 * multiple of the work itself; at most the number of routers
 * @param stayLow the relative load from which the first chats leave a server
 * @param stayHigh the relative load from which all chats leave a server
 */
public record PlacementTuning(double turnoverMs, double reportGain, double ownGain, double stayLow, double stayHigh) {

	/** The constants in use. */
	public static final PlacementTuning DEFAULT = new PlacementTuning(12_000, 3, 1, 0.8, 1.2);

	/**
	 * Reads constants.
	 * @param text the five numbers in the order of the components, separated by commas
	 * @return the constants
	 */
	public static PlacementTuning parse(String text) {
		double[] values = Stream.of(text.split(",")).mapToDouble(Double::parseDouble).toArray();
		return new PlacementTuning(values[0], values[1], values[2], values[3], values[4]);
	}

}
