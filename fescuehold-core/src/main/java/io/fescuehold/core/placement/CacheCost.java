package io.fescuehold.core.placement;

/**
 * Compares the costs of making a chat's context available on a server: from its cache, by
 * import from another server or by prefill. Costs are in tokens of prefill.
 */
public final class CacheCost {

	/** Importing a token costs a quarter of the time of its prefill. */
	private static final double IMPORT_COST_PER_TOKEN = 0.25;

	/** The fixed cost of an import, which covers its round trips. */
	private static final double IMPORT_FIXED_TOKENS = 256;

	private CacheCost() {
	}

	/**
	 * Returns the cost of an import.
	 * @param tokens the tokens to import
	 * @return the cost in tokens of prefill
	 */
	public static double importCost(long tokens) {
		return IMPORT_FIXED_TOKENS + IMPORT_COST_PER_TOKEN * tokens;
	}

	/**
	 * Tells whether importing is cheaper than prefill.
	 * @param tokens the tokens that could be imported
	 * @return whether to import
	 */
	public static boolean isImportCheaper(long tokens) {
		return importCost(tokens) < tokens;
	}

	/**
	 * Returns the cost of moving a chat off the server that holds its context.
	 * @param tokens the tokens of the chat in the cache
	 * @return the cost in tokens of prefill
	 */
	public static double moveCost(long tokens) {
		return Math.min(tokens, importCost(tokens));
	}

}
