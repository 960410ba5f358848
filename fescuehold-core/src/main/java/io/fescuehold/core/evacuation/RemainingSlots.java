package io.fescuehold.core.evacuation;

import java.util.Collection;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import io.fescuehold.core.servers.BackendServer;

/**
 * What is left of a service while failure domains are evacuated. Servers that leave do
 * not count.
 *
 * @param slots the slots of its servers in all failure domains
 * @param slotsLeft the slots of those outside the failure domains under evacuation
 */
public record RemainingSlots(int slots, int slotsLeft) {

	/**
	 * Counts the slots of each service.
	 * @param servers the servers
	 * @param evacuated the failure domains under evacuation
	 * @return the slots by service, sorted
	 */
	public static Map<String, RemainingSlots> byService(Collection<BackendServer> servers, Set<String> evacuated) {
		Map<String, RemainingSlots> byService = new TreeMap<>();
		for (BackendServer server : servers) {
			if (!server.leaving()) {
				int left = evacuated.contains(server.failureDomain()) ? 0 : server.slots();
				byService.merge(server.service(), new RemainingSlots(server.slots(), left),
						(one, other) -> new RemainingSlots(one.slots + other.slots, one.slotsLeft + other.slotsLeft));
			}
		}
		return byService;
	}

}
