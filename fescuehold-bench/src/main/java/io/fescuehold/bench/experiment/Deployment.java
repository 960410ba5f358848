package io.fescuehold.bench.experiment;

/**
 * The size and traffic of a deployment.
 *
 * @param routers the number of routers
 * @param servers the number of model servers; every third is twice as fast
 * @param requestsPerS the mean rate of requests at the start of the run
 * @param firstPromptTokens the median size of the first prompt of a chat
 * @param turnTokens the median size of a further user message
 * @param outputTokens the mean size of a response
 * @param turns the mean number of requests per chat
 * @param pauseS the median think time of a user between requests, in seconds
 * @param replicas the number of replicas, which are the roots of the relay tree
 */
public record Deployment(int routers, int servers, double requestsPerS, double firstPromptTokens, double turnTokens,
		double outputTokens, double turns, double pauseS, int replicas) {

	/** The tokens per second of a slow server. */
	public static final long BASE_TOKENS_PER_S = 4_000;

	/** The maximum batch size of a slow server in requests. */
	public static final int BASE_MAX_RUNNING_REQUESTS = 160;

	/** The size of the prompt cache of a slow server in tokens. */
	public static final long BASE_CACHE_TOKENS = 600_000;

	/** Tarawera Horology Services: the highest priority is low load skew. */
	public static final Deployment TARAWERA = new Deployment(7, 12, 64, 800, 150, 208, 8, 15, 3);

	/** Fiji Maritime Heritage Stays Authority: the highest priority is cache reuse. */
	public static final Deployment FIJI = new Deployment(7, 6, 24, 1_200, 200, 320, 10, 15, 3);

	/** The size expected in two years. */
	public static final Deployment LARGE = new Deployment(350, 600, 2_400, 800, 150, 208, 8, 15, 5);

	/**
	 * Finds a deployment.
	 * @param name the name
	 * @return the deployment
	 * @throws IllegalArgumentException if there is no such deployment
	 */
	public static Deployment of(String name) {
		return switch (name) {
			case "tarawera" -> TARAWERA;
			case "fiji" -> FIJI;
			case "large" -> LARGE;
			default -> throw new IllegalArgumentException(
					"Deployment \"" + name + "\" is unknown; use tarawera, fiji or large");
		};
	}

	/**
	 * Returns the speed of a server relative to a slow one.
	 * @param server the index of the server
	 * @return 1 or 2
	 */
	public static int speedFactor(int server) {
		return (server % 3 == 2) ? 2 : 1;
	}

	/**
	 * Returns a deployment with the same token rate, in which requests are smaller and
	 * more frequent by a factor and take as long.
	 * @param factor the factor
	 * @return the deployment
	 */
	public Deployment withGranularity(double factor) {
		return new Deployment(this.routers, this.servers, this.requestsPerS * factor, this.firstPromptTokens / factor,
				this.turnTokens / factor, this.outputTokens / factor, this.turns, this.pauseS, this.replicas);
	}

}
