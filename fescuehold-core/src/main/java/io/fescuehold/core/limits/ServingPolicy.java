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
 * @param holdsFloods whether hosts hold back teams above their fair share of a plain
 * service that has too little room
 */
public record ServingPolicy(double coldOverageFactor, double coldSlackRequests, long evacuationMs, double hedgeRatio,
		boolean holdsFloods) {

	/** No bounds. */
	public static final ServingPolicy NONE = new ServingPolicy(0, 0, 0, 0);

	/**
	 * Creates bounds without holding back floods.
	 * @param coldOverageFactor the multiple of the tolerated rate of a cold server
	 * @param coldSlackRequests the requests that a cold server may get in addition
	 * @param evacuationMs the time in milliseconds of an evacuation, or 0
	 * @param hedgeRatio the second copies for each request
	 */
	public ServingPolicy(double coldOverageFactor, double coldSlackRequests, long evacuationMs, double hedgeRatio) {
		this(coldOverageFactor, coldSlackRequests, evacuationMs, hedgeRatio, false);
	}

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

}
