package io.fescuehold.core.servers;

import java.util.Objects;

/**
 * A backend server in the platform's list.
 *
 * @param id the id of the running instance; a restarted server usually has a new one
 * @param service the service that it runs
 * @param address the address as {@code ip:port}, which may be reused by another service
 * @param failureDomain its failure domain
 * @param slots the number of requests that it runs concurrently
 * @param leaving whether it is about to stop
 * @param version the version of its software, or null if unknown
 * @param coldMs for how much longer it stays cold after a start, in milliseconds from the
 * moment at which the list was read, or 0
 */
public record BackendServer(String id, String service, String address, String failureDomain, int slots, boolean leaving,
		String version, long coldMs) {

	/**
	 * The longest remaining cold time. Longer ones count as this one, and so do those
	 * that cannot be read.
	 */
	public static final long MAX_COLD_MS = 60_000;

	/**
	 * A change of the end of a cold time that is not passed on to the daemons. They add
	 * it to the end, so that none takes a server for warm too early.
	 */
	public static final long COLD_END_TOLERANCE_MS = 500;

	/**
	 * Checks the arguments.
	 */
	public BackendServer {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(address, "address");
		Objects.requireNonNull(failureDomain, "failureDomain");
		coldMs = Math.clamp(coldMs, 0, MAX_COLD_MS);
	}

	/**
	 * Creates a server that is not cold.
	 * @param id the id of the running instance
	 * @param service the service that it runs
	 * @param address the address as {@code ip:port}
	 * @param failureDomain its failure domain
	 * @param slots the number of requests that it runs concurrently
	 * @param leaving whether it is about to stop
	 * @param version the version of its software, or null if unknown
	 */
	public BackendServer(String id, String service, String address, String failureDomain, int slots, boolean leaving,
			String version) {
		this(id, service, address, failureDomain, slots, leaving, version, 0);
	}

	/**
	 * Returns this server with another cold time.
	 * @param remainingMs the remaining cold time in milliseconds
	 * @return the server
	 */
	public BackendServer withColdMs(long remainingMs) {
		return new BackendServer(this.id, this.service, this.address, this.failureDomain, this.slots, this.leaving,
				this.version, remainingMs);
	}

	/**
	 * Returns the name of the software version.
	 * @return the version, or an empty text if it is unknown
	 */
	public String versionName() {
		return (this.version != null) ? this.version : "";
	}

	/**
	 * Returns the IP address.
	 * @return the part of the address before the port
	 */
	public String ip() {
		return this.address.substring(0, this.address.lastIndexOf(':'));
	}

	/**
	 * Returns the port.
	 * @return the port
	 */
	public int port() {
		return Integer.parseInt(this.address.substring(this.address.lastIndexOf(':') + 1));
	}

}
