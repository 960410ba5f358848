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
	 * Checks the arguments.
	 */
	public BackendServer {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(address, "address");
		Objects.requireNonNull(failureDomain, "failureDomain");
		coldMs = Math.max(0, coldMs);
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
