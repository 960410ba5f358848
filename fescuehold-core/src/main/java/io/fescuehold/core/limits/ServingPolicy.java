package io.fescuehold.core.limits;

/**
 * The operators' bounds on where and how often requests are sent, from the settings. Each
 * part of the product that a bound belongs to is off where the bound is absent.
 *
 * @param coldOverageFactor the multiple of the tolerated rate that a cold server may get
 * in a second, or 0 if there is no such bound
 * @param coldSlackRequests the requests that a cold server may get in a second in
 * addition
 * @param evacuationMs the time in milliseconds within which all daemons obey the order to
 * evacuate a failure domain, or 0 if there are no such orders
 * @param hedgeRatio the second copies that may be sent for each request, from 0 to 1
 * @param admission whether requests wait or are refused at the host while a plain service
 * has too little room for them
 */
public record ServingPolicy(double coldOverageFactor, double coldSlackRequests, long evacuationMs, double hedgeRatio,
		boolean admission) {

	/** No bounds. */
	public static final ServingPolicy NONE = new ServingPolicy(0, 0, 0, 0);

	/**
	 * Checks the arguments.
	 */
	public ServingPolicy {
		if (coldOverageFactor < 0 || coldSlackRequests < 0 || evacuationMs < 0 || !(hedgeRatio >= 0)
				|| hedgeRatio > 1) {
			throw new IllegalArgumentException("Bounds must not be negative and hedgeRatio at most 1: "
					+ coldOverageFactor + ", " + coldSlackRequests + ", " + evacuationMs + ", " + hedgeRatio);
		}
	}

	/**
	 * Creates a policy without admission.
	 * @param coldOverageFactor see the record
	 * @param coldSlackRequests see the record
	 * @param evacuationMs see the record
	 * @param hedgeRatio see the record
	 */
	public ServingPolicy(double coldOverageFactor, double coldSlackRequests, long evacuationMs, double hedgeRatio) {
		this(coldOverageFactor, coldSlackRequests, evacuationMs, hedgeRatio, false);
	}

}
