package io.fescuehold.runtime.discovery;

import java.util.List;
import java.util.Map;
import java.util.Set;

import io.fescuehold.core.membership.HostRecord;
import io.fescuehold.core.routes.RoutingDocument;
import io.fescuehold.core.servers.ServerList;

/**
 * Receives what a daemon learns of its fleet. Called by one thread.
 */
public interface FleetListener {

	/**
	 * A configuration takes effect.
	 * @param document the configuration, whose number is higher than all before
	 */
	void onDocument(RoutingDocument document);

	/**
	 * The configuration in use was confirmed to be the newest.
	 * @param askedAtMs the time in milliseconds at which the confirmation was asked for
	 */
	void onConfirmed(long askedAtMs);

	/**
	 * The server list changed.
	 * @param servers the list
	 */
	void onServers(ServerList servers);

	/**
	 * The live daemons changed.
	 * @param hosts the daemons
	 */
	void onHosts(List<HostRecord> hosts);

	/**
	 * The other daemons reported their requests.
	 * @param requests the requests by server
	 */
	void onOtherRequests(Map<String, Integer> requests);

	/**
	 * Returns the requests of this daemon.
	 * @return the requests by server
	 */
	Map<String, Integer> ownRequests();

	/**
	 * The other daemons reported prompt parts that servers have read.
	 * @param partsByServer the ids of the parts by server
	 */
	void onPartsRead(Map<String, Set<String>> partsByServer);

	/**
	 * Takes the prompt parts that servers have read for this daemon since the last call.
	 * @return the ids of the parts by server
	 */
	Map<String, Set<String>> takePartsRead();

}
