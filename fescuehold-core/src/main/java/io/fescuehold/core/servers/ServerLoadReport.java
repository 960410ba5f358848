package io.fescuehold.core.servers;

/**
 * What a server said of its load in a response.
 *
 * @param running the number of requests that it runs
 * @param waiting the number of requests that wait at it
 * @param slots the number of requests that it can run at a time
 * @param workPercent how long work takes at this moment in percent of the usual time, or
 * 100 if the server does not say
 */
public record ServerLoadReport(int running, int waiting, int slots, int workPercent) {

	/** Work takes as long as usual. */
	public static final int USUAL_WORK_PERCENT = 100;

	/**
	 * Checks the arguments.
	 */
	public ServerLoadReport {
		if (running < 0 || waiting < 0 || slots <= 0 || workPercent <= 0) {
			throw new IllegalArgumentException("Load " + running + ", " + waiting + ", " + slots + ", " + workPercent
					+ " has a figure that is negative, or no slots or no work time");
		}
	}

}
