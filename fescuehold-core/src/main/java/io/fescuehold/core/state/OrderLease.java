package io.fescuehold.core.state;

/**
 * The lease that allows a router to send orders to a model server.
 *
 * @param serverId the model server
 * @param holder the host id of the router
 * @param fencingNumber the fencing number that orders carry
 * @param expiresAtMs the end of the lease in milliseconds since the epoch
 * @param leaseMs the length of the lease in milliseconds
 */
public record OrderLease(String serverId, String holder, long fencingNumber, long expiresAtMs, long leaseMs) {

	private static final long DRIFT_DIVISOR = 10;

	/**
	 * Returns the time at which the lease has expired at the holder too, even if the
	 * holder's clock runs 10 % slower than the leader's.
	 * @return the time in milliseconds since the epoch
	 */
	long latestExpiryAtMs() {
		return this.expiresAtMs + this.leaseMs / DRIFT_DIVISOR;
	}

}
