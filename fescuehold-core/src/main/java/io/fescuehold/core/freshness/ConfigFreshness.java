package io.fescuehold.core.freshness;

/**
 * How long ago the configuration in use was known to be the newest. A confirmation counts
 * from the moment at which it was asked for, so that a slow answer cannot extend it.
 */
public final class ConfigFreshness {

	private static final long NEVER = Long.MIN_VALUE / 2;

	private long askedAtMs = NEVER;

	/**
	 * Records that the configuration in use was the newest.
	 * @param askMs the time in milliseconds at which the confirmation was asked for
	 */
	public void confirm(long askMs) {
		this.askedAtMs = Math.max(this.askedAtMs, askMs);
	}

	/**
	 * Returns the age of the newest confirmation.
	 * @param nowMs the time in milliseconds
	 * @return the age in milliseconds, very large without a confirmation
	 */
	public long ageMs(long nowMs) {
		return nowMs - this.askedAtMs;
	}

	/**
	 * Returns whether the configuration was confirmed recently.
	 * @param nowMs the time in milliseconds
	 * @param boundMs the largest age in milliseconds
	 * @return whether the age is below the bound
	 */
	public boolean isFresh(long nowMs, long boundMs) {
		return ageMs(nowMs) < boundMs;
	}

}
