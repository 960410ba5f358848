package io.fescuehold.core.placement;

/**
 * How a placed request ended.
 *
 * @param served whether the server answered
 * @param cachedTokens the prompt tokens that the server took from its cache
 * @param totalTokens the tokens of prompt and answer, which are now in the cache
 */
public record ServedOutcome(boolean served, long cachedTokens, long totalTokens) {

	/** The server failed or could not be reached. */
	public static final ServedOutcome FAILED = new ServedOutcome(false, 0, 0);

}
