package io.fescuehold.runtime.backend;

/**
 * Limits of the connections to one backend server.
 *
 * @param maxConnections the maximum number of pooled connections
 * @param maxPendingAcquires the maximum number of requests that wait for a pooled
 * connection
 * @param acquireTimeoutMs the maximum wait for a pooled connection in milliseconds
 * @param connectTimeoutMs the maximum wait for a new connection in milliseconds
 * @param maxIdleMs the time in milliseconds after which an idle connection is closed
 * @param maxHeaderBytes the maximum size of a response head in bytes
 */
public record BackendOptions(int maxConnections, int maxPendingAcquires, int acquireTimeoutMs, int connectTimeoutMs,
		int maxIdleMs, int maxHeaderBytes) {

	/** The default limits. */
	public static final BackendOptions DEFAULT = new BackendOptions(500, 1_000, 1_000, 1_000, 10_000, 32_768);

	public BackendOptions {
		requirePositive("maxConnections", maxConnections);
		requirePositive("maxPendingAcquires", maxPendingAcquires);
		requirePositive("acquireTimeoutMs", acquireTimeoutMs);
		requirePositive("connectTimeoutMs", connectTimeoutMs);
		requirePositive("maxIdleMs", maxIdleMs);
		requirePositive("maxHeaderBytes", maxHeaderBytes);
	}

	private static void requirePositive(String name, int value) {
		if (value <= 0) {
			throw new IllegalArgumentException(name + " is " + value + " but must be positive");
		}
	}

}
