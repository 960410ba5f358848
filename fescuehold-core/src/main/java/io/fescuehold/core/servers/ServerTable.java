package io.fescuehold.core.servers;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The servers of all services. Health and load of a server are kept across updates of the
 * list as long as the instance stays the same.
 */
public final class ServerTable {

	private final Map<String, ServerState> serversById = new HashMap<>();

	private Map<String, List<ServerState>> serversByService = new HashMap<>();

	private long revision;

	/**
	 * Applies a new list.
	 * @param list the list
	 * @param nowMs the time in milliseconds
	 */
	public void update(ServerList list, long nowMs) {
		Map<String, List<ServerState>> byService = new HashMap<>();
		Map<String, ServerState> kept = new HashMap<>();
		for (BackendServer server : list.servers()) {
			ServerState state = this.serversById.computeIfAbsent(server.id(), (id) -> new ServerState(server));
			state.update(server, nowMs);
			if (kept.put(server.id(), state) == null) {
				byService.computeIfAbsent(server.service(), (service) -> new ArrayList<>()).add(state);
			}
		}
		this.serversById.clear();
		this.serversById.putAll(kept);
		this.serversByService = byService;
		this.revision = list.revision();
	}

	/**
	 * Returns the servers of a service, leaving ones included.
	 * @param service the service
	 * @return the servers, possibly none
	 */
	public List<ServerState> of(String service) {
		return this.serversByService.getOrDefault(service, List.of());
	}

	/**
	 * Finds a server.
	 * @param id the instance id
	 * @return the server, or null
	 */
	public ServerState find(String id) {
		return this.serversById.get(id);
	}

	/**
	 * Returns all servers.
	 * @return the servers
	 */
	public Collection<ServerState> all() {
		return this.serversById.values();
	}

	/**
	 * Returns the revision of the list.
	 * @return the revision
	 */
	public long revision() {
		return this.revision;
	}

}
