package io.fescuehold.core.routes;

/**
 * The limits on requests and connections of callers.
 *
 * @param maxHeaderBytes the maximum size of a request head in bytes
 * @param maxBodyBytes the maximum size of a request body in bytes
 * @param headerTimeoutMs the maximum time in milliseconds until a request head is
 * complete
 * @param idleTimeoutMs the time in milliseconds after which an idle connection may be
 * closed
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, int headerTimeoutMs, int idleTimeoutMs) {

	/** The limits before any configuration is known. */
	public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4 << 20, 3_000, 15_000);

}
