package io.fescuehold.runtime.discovery;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.fescuehold.core.evacuation.Evacuations;
import io.fescuehold.core.membership.HostRecord;
import io.fescuehold.core.routes.RoutingDocument;
import io.fescuehold.core.servers.ServerList;

/**
 * Records the configurations and confirmations of a daemon; can refuse configurations.
 */
final class RecordingListener implements FleetListener {

	final List<Long> numbers = new ArrayList<>();

	int confirmations;

	int refusals;

	boolean refusesDocuments;

	boolean refusesHosts;

	long number() {
		return this.numbers.isEmpty() ? 0 : this.numbers.getLast();
	}

	@Override
	public void onDocument(RoutingDocument document) {
		if (this.refusesDocuments) {
			this.refusals++;
			throw new IllegalStateException("refused by the test");
		}
		this.numbers.add(document.number());
	}

	@Override
	public void onConfirmed(long askedAtMs) {
		this.confirmations++;
	}

	@Override
	public void onEvacuations(Evacuations evacuations) {
	}

	@Override
	public void onServers(ServerList servers) {
	}

	@Override
	public void onHosts(List<HostRecord> hosts) {
		if (this.refusesHosts) {
			throw new IllegalStateException("refused by the test");
		}
	}

	@Override
	public void onOtherRequests(Map<String, Integer> requests) {
	}

	@Override
	public Map<String, Integer> ownRequests() {
		return Map.of();
	}

	@Override
	public void onPartsRead(Map<String, Set<String>> partsByServer) {
	}

	@Override
	public Map<String, Set<String>> takePartsRead() {
		return Map.of();
	}

}
