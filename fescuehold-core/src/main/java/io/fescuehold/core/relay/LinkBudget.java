package io.fescuehold.core.relay;

/**
 * The send interval and the message size for each neighbour of a host. They keep the
 * control traffic of the host within its limit for any number of servers and neighbours.
 *
 * @param intervalMs the time between two messages to a neighbour, in milliseconds
 * @param maxBytes the maximum size of a message in bytes
 */
public record LinkBudget(int intervalMs, int maxBytes) {

	/** The shortest interval between two digests, in milliseconds. */
	public static final int MIN_INTERVAL_MS = 250;

	/**
	 * The limit in bytes per second for digests on all links. The limit for all control
	 * traffic of a daemon is 5,000; the rest is for frames, pings and the configuration
	 * feed.
	 */
	public static final int BYTES_PER_S = 4_000;

	/**
	 * With a part of a digest every 500 ms, samples are newer on arrival than with a
	 * whole digest every second.
	 */
	private static final int MAX_INTERVAL_MS = 500;

	private static final int MS_PER_S = 1_000;

	private static final int HEADER_BYTES = 3;

	private static final double BYTES_PER_SAMPLE = 1.5;

	/**
	 * Divides the limit among the neighbours.
	 * @param servers the number of servers
	 * @param links the number of neighbours
	 * @return the budget of each neighbour
	 */
	public static LinkBudget of(int servers, int links) {
		double fullDigestBytes = HEADER_BYTES + servers / (double) Byte.SIZE + 1 + servers * BYTES_PER_SAMPLE;
		double bytesPerMs = (double) BYTES_PER_S / MS_PER_S / Math.max(1, links);
		int ticks = (int) Math.ceil(fullDigestBytes / bytesPerMs / MIN_INTERVAL_MS);
		int intervalMs = Math.clamp((long) ticks * MIN_INTERVAL_MS, MIN_INTERVAL_MS, MAX_INTERVAL_MS);
		return new LinkBudget(intervalMs, (int) (bytesPerMs * intervalMs));
	}

}
