package io.fescuehold.core.relay;

/**
 * How often and how much a host sends to each of its neighbours, so that its control
 * traffic stays within the limit whatever the number of servers and neighbours.
 *
 * @param intervalMs the time between two messages to a neighbour, in milliseconds
 * @param maxBytes the size of a message at most
 */
public record LinkBudget(int intervalMs, int maxBytes) {

	/** Digests are sent at most this often. */
	public static final int MIN_INTERVAL_MS = 250;

	/**
	 * The bytes per second for digests over all links. The limit for all control traffic
	 * of a daemon is 5,000; the rest is for frames, pings and the configuration feed.
	 */
	public static final int BYTES_PER_S = 4_000;

	/** Part of a digest every 500 ms ages less than a whole one every second. */
	private static final int MAX_INTERVAL_MS = 500;

	private static final int MS_PER_S = 1_000;

	private static final int HEADER_BYTES = 3;

	private static final double BYTES_PER_SAMPLE = 1.5;

	/**
	 * Divides the limit over the neighbours.
	 * @param servers the number of servers
	 * @param links the number of neighbours
	 * @return the budget of each neighbour
	 */
	public static LinkBudget of(int servers, int links) {
		double fullBytes = HEADER_BYTES + servers / (double) Byte.SIZE + 1 + servers * BYTES_PER_SAMPLE;
		double bytesPerMs = (double) BYTES_PER_S / MS_PER_S / Math.max(1, links);
		int ticks = (int) Math.ceil(fullBytes / bytesPerMs / MIN_INTERVAL_MS);
		int intervalMs = Math.clamp((long) ticks * MIN_INTERVAL_MS, MIN_INTERVAL_MS, MAX_INTERVAL_MS);
		return new LinkBudget(intervalMs, (int) (bytesPerMs * intervalMs));
	}

}
