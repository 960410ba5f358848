package io.fescuehold.runtime.discovery;

import java.util.List;
import java.util.Map;
import java.util.Set;

import io.fescuehold.core.evacuation.Evacuations;
import io.fescuehold.core.membership.HostRecord;
import io.fescuehold.core.routes.RoutingDocument;
import io.fescuehold.core.servers.ServerList;

/**
 * Listener for updates about the fleet. All methods are called by one thread.
 */
public interface FleetListener {

	/**
	 * Called when a new configuration takes effect.
	 * @param document the configuration, whose number is higher than all earlier ones
	 */
	void onDocument(RoutingDocument document);

	/**
	 * Called when the leader has confirmed that the configuration in use is the newest.
	 * @param askedAtMs the time in milliseconds at which the confirmation was requested
	 */
	void onConfirmed(long askedAtMs);

	/**
	 * Called when the evacuations of failure domains have changed.
	 * @param evacuations the evacuations, whose revision is higher than all earlier ones
	 */
	void onEvacuations(Evacuations evacuations);

	/**
	 * Called when the server list has changed.
	 * @param servers the list
	 */
	void onServers(ServerList servers);

	/**
	 * Called when a new list of the live daemons has arrived.
	 * @param hosts the live daemons
	 */
	void onHosts(List<HostRecord> hosts);

	/**
	 * Called with the requests in flight from the other daemons.
	 * @param requests the number of requests by server id
	 */
	void onOtherRequests(Map<String, Integer> requests);

	/**
	 * Returns the requests in flight from this daemon.
	 * @return the number of requests by server id
	 */
	Map<String, Integer> ownRequests();

	/**
	 * Called with the memory that requests in flight from the other daemons take.
	 * @param units the memory by server id, without small values, or null if the leader
	 * does not know it
	 */
	default void onOtherMemory(Map<String, Integer> units) {
	}

	/**
	 * Returns the memory that requests in flight from this daemon take.
	 * @return the memory by server id, empty if there is none
	 */
	default Map<String, Integer> ownMemory() {
		return Map.of();
	}

	/**
	 * Called with the prompt parts that servers have read for the other daemons.
	 * @param partsByServer the ids of the parts by server id
	 */
	void onPartsRead(Map<String, Set<String>> partsByServer);

	/**
	 * Returns and clears the prompt parts that servers have read for this daemon since
	 * the last call.
	 * @return the ids of the parts by server id
	 */
	Map<String, Set<String>> takePartsRead();

}
