package io.fescuehold.core.servers;

import java.util.List;

/**
 * The platform's list of backend servers as one daemon has read it.
 *
 * @param revision a number that differs for each content
 * @param servers the servers
 */
public record ServerList(long revision, List<BackendServer> servers) {

	/** The list before anything was read. */
	public static final ServerList EMPTY = new ServerList(0, List.of());

	/**
	 * Copies the list.
	 */
	public ServerList {
		servers = List.copyOf(servers);
	}

}
