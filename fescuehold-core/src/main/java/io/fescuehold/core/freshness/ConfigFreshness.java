package io.fescuehold.core.freshness;

/**
 * The time since the configuration in use was last confirmed to be the newest. It is
 * measured from the request for the confirmation, so that a slow response does not extend
 * its validity.
 */
public final class ConfigFreshness {

	private static final long NEVER = Long.MIN_VALUE / 2;

	private long requestedAtMs = NEVER;

	/**
	 * Records a confirmation that the configuration in use was the newest.
	 * @param confirmationRequestedAtMs the time in milliseconds at which the confirmation
	 * was requested
	 */
	public void confirm(long confirmationRequestedAtMs) {
		this.requestedAtMs = Math.max(this.requestedAtMs, confirmationRequestedAtMs);
	}

	/**
	 * Returns the age of the newest confirmation.
	 * @param nowMs the time in milliseconds
	 * @return the age in milliseconds, which is very large without a confirmation
	 */
	public long ageMs(long nowMs) {
		return nowMs - this.requestedAtMs;
	}

	/**
	 * Returns whether the configuration was confirmed recently.
	 * @param nowMs the time in milliseconds
	 * @param maxAgeMs the age in milliseconds from which a confirmation is too old
	 * @return whether the age is less than the maximum
	 */
	public boolean isFresh(long nowMs, long maxAgeMs) {
		return ageMs(nowMs) < maxAgeMs;
	}

}
