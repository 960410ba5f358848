package io.fescuehold.bench.experiment;

/**
 * The results of a run.
 *
 * @param options the parameters of the run
 * @param requests the number of measured requests
 * @param localFraction the fraction of prompt tokens served from the server's own cache
 * @param importedFraction the fraction of prompt tokens imported from another server's
 * cache
 * @param maxSkew the highest ratio of a server's load to the mean in any sample
 * @param p99Skew the 99th percentile of the ratio of load to mean, over all servers and
 * samples
 * @param aboveBoundFraction the fraction of server samples above the load bound
 * @param meanLoadTokens the mean of outstanding tokens per server
 * @param decisionMedianNs the median time of a decision in nanoseconds
 * @param decisionP99Ns the 99th percentile of the time of a decision in nanoseconds
 * @param bytesPerChat the memory per remembered chat in bytes, 0 for other policies
 * @param unplaced the number of placement attempts that found no server
 */
public record RunResult(RunOptions options, long requests, double localFraction, double importedFraction,
		double maxSkew, double p99Skew, double aboveBoundFraction, double meanLoadTokens, long decisionMedianNs,
		long decisionP99Ns, double bytesPerChat, long unplaced) {

	/**
	 * Returns the fraction of prompt tokens that needed no prefill.
	 * @return the fraction
	 */
	public double reuse() {
		return this.localFraction + this.importedFraction;
	}

}
