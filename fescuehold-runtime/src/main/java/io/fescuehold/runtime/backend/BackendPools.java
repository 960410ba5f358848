package io.fescuehold.runtime.backend;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import reactor.netty.http.HttpResources;
import reactor.netty.resources.LoopResources;

/**
 * The connection pools of all backend servers, by address.
 */
public final class BackendPools {

	private final Map<String, BackendPool> pools = new ConcurrentHashMap<>();

	private final BackendOptions options;

	private final LoopResources loops;

	private final boolean preferNative;

	/**
	 * Creates an empty set of pools.
	 * @param options the limits of each pool
	 */
	public BackendPools(BackendOptions options) {
		this(options, HttpResources.get(), LoopResources.DEFAULT_NATIVE);
	}

	/**
	 * Creates an empty set of pools.
	 * @param options the limits of each pool
	 * @param loops the event loops of the connections, without the native transport: the
	 * native one has threads of its own, but the gateway's state belongs to one thread
	 */
	public BackendPools(BackendOptions options, LoopResources loops) {
		this(options, loops, false);
	}

	private BackendPools(BackendOptions options, LoopResources loops, boolean preferNative) {
		this.options = options;
		this.loops = loops;
		this.preferNative = preferNative;
	}

	/**
	 * Returns the pool of a server.
	 * @param host the IP address of the server
	 * @param port the port of the server
	 * @return the pool, created on first use
	 */
	public BackendPool pool(String host, int port) {
		return this.pools.computeIfAbsent(host + ":" + port,
				(key) -> new BackendPool(host, port, this.options, this.loops, this.preferNative));
	}

	/**
	 * Closes the pools of servers that are no longer configured. Requests in flight
	 * complete normally.
	 * @param addresses the configured servers as {@code host:port}
	 */
	public void retain(Set<String> addresses) {
		this.pools.forEach((address, pool) -> {
			if (!addresses.contains(address) && this.pools.remove(address, pool)) {
				pool.close();
			}
		});
	}

	/**
	 * Closes all pools.
	 */
	public void close() {
		retain(Set.of());
	}

	/**
	 * Returns the number of pools.
	 * @return the number
	 */
	public int size() {
		return this.pools.size();
	}

}
