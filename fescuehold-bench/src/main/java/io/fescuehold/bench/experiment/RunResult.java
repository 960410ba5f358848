package io.fescuehold.bench.experiment;

/**
 * The figures of a run.
 *
 * @param options the conditions
 * @param requests the requests measured
 * @param localShare the share of prompt tokens served from the server's own cache
 * @param importedShare the share of prompt tokens imported from another server's cache
 * @param worstSkew the highest load of a server over the mean in any sample
 * @param p99Skew the 99th percentile of load over mean, over all servers and samples
 * @param aboveBound the portion of servers and samples above the load bound
 * @param meanLoadTokens the mean of outstanding tokens per server
 * @param decisionMedianNs the median time of a decision in nanoseconds
 * @param decisionP99Ns the 99th percentile of the time of a decision in nanoseconds
 * @param bytesPerChat the memory per remembered chat in bytes, 0 for other policies
 * @param unplaced the requests that no server took
 */
public record RunResult(RunOptions options, long requests, double localShare, double importedShare, double worstSkew,
		double p99Skew, double aboveBound, double meanLoadTokens, long decisionMedianNs, long decisionP99Ns,
		double bytesPerChat, long unplaced) {

	/**
	 * Returns the share of prompt tokens that needed no prefill.
	 * @return the share
	 */
	public double reuse() {
		return this.localShare + this.importedShare;
	}

}
