package io.fescuehold.config;

import java.util.List;

/**
 * A model server, which generates tokens and keeps prompt prefixes in a cache.
 *
 * @param host the IP address of the server's host
 * @param port the HTTP port
 * @param failureDomain the failure domain of the host
 * @param models the models that the server has loaded
 * @param state the life-cycle state
 * @param checksFencing whether the server rejects orders with an outdated fencing number
 * @param resumesStreams whether the server resumes a stream from a position
 * @param tokensPerS the tokens per second that the server processes when fully batched
 * @param maxRunningRequests the maximum number of requests that the server batches
 * @param cacheTokens the size of the prompt cache in tokens
 */
public record ModelServerSpec(String host, int port, String failureDomain, List<String> models, ServerState state,
		boolean checksFencing, boolean resumesStreams, long tokensPerS, int maxRunningRequests, long cacheTokens) {

	private static final int MAX_RUNNING_REQUESTS = 100_000;

	public ModelServerSpec {
		Checks.name("host", host);
		Checks.inRange("port", port, 1, Checks.MAX_PORT);
		Checks.name("failureDomain", failureDomain);
		Checks.required("models", models);
		Checks.required("state", state);
		Checks.inRange("tokensPerS", tokensPerS, 1, Integer.MAX_VALUE);
		Checks.inRange("maxRunningRequests", maxRunningRequests, 1, MAX_RUNNING_REQUESTS);
		Checks.inRange("cacheTokens", cacheTokens, 0, Long.MAX_VALUE);
		if (models.isEmpty()) {
			throw new ConfigException("/models", "is empty; name at least one model");
		}
		models = List.copyOf(models);
	}

	/**
	 * Returns a copy in another state.
	 * @param newState the state of the copy
	 * @return the copy
	 */
	public ModelServerSpec withState(ServerState newState) {
		return new ModelServerSpec(this.host, this.port, this.failureDomain, this.models, newState, this.checksFencing,
				this.resumesStreams, this.tokensPerS, this.maxRunningRequests, this.cacheTokens);
	}

}
