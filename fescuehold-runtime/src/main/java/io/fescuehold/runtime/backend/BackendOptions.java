package io.fescuehold.runtime.backend;

/**
 * Limits of the connections to one backend server.
 *
 * @param maxConnections the pooled connections at most
 * @param maxPendingAcquires the requests that wait for a pooled connection at most
 * @param acquireTimeoutMs the longest wait for a pooled connection in milliseconds
 * @param connectTimeoutMs the longest wait for a new connection in milliseconds
 * @param maxIdleMs the time in milliseconds after which an idle connection is closed
 * @param maxHeaderBytes the size of a response head at most
 */
public record BackendOptions(int maxConnections, int maxPendingAcquires, int acquireTimeoutMs, int connectTimeoutMs,
		int maxIdleMs, int maxHeaderBytes) {

	/** The default limits. */
	public static final BackendOptions DEFAULT = new BackendOptions(500, 1_000, 1_000, 1_000, 10_000, 32_768);

	public BackendOptions {
		positive("maxConnections", maxConnections);
		positive("maxPendingAcquires", maxPendingAcquires);
		positive("acquireTimeoutMs", acquireTimeoutMs);
		positive("connectTimeoutMs", connectTimeoutMs);
		positive("maxIdleMs", maxIdleMs);
		positive("maxHeaderBytes", maxHeaderBytes);
	}

	private static void positive(String name, int value) {
		if (value <= 0) {
			throw new IllegalArgumentException(name + " is " + value + " but must be positive");
		}
	}

}
