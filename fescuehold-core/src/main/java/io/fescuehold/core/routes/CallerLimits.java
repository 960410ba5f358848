package io.fescuehold.core.routes;

/**
 * What a caller may send and how long it may take.
 *
 * @param maxHeaderBytes the size of a request head at most
 * @param maxBodyBytes the size of a request body at most
 * @param headerTimeoutMs the longest time in milliseconds for a request head
 * @param idleTimeoutMs the time in milliseconds after which an idle connection may be
 * closed
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, int headerTimeoutMs, int idleTimeoutMs) {

	/** The limits before any configuration is known. */
	public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4 << 20, 3_000, 15_000);

}
