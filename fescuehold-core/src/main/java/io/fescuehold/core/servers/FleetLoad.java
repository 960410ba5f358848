package io.fescuehold.core.servers;

import java.util.HashMap;
import java.util.Map;

/**
 * The number of requests that all daemons have outstanding at each server, collected by
 * the leader from their samples.
 */
public final class FleetLoad {

	private final long sampleExpiryMs;

	private final Map<String, Sample> samples = new HashMap<>();

	/**
	 * Creates an empty collection.
	 * @param sampleExpiryMs the time in milliseconds after which a sample no longer
	 * counts
	 */
	public FleetLoad(long sampleExpiryMs) {
		this.sampleExpiryMs = sampleExpiryMs;
	}

	/**
	 * Replaces the sample of a daemon.
	 * @param hostId the daemon
	 * @param requests the number of its outstanding requests by server
	 * @param nowMs the time in milliseconds
	 */
	public void put(String hostId, Map<String, Integer> requests, long nowMs) {
		this.samples.put(hostId, new Sample(Map.copyOf(requests), nowMs));
	}

	/**
	 * Sums up the samples of all daemons but one.
	 * @param hostId the daemon that is excluded
	 * @param nowMs the time in milliseconds
	 * @return the number of requests by server
	 */
	public Map<String, Integer> totalExcluding(String hostId, long nowMs) {
		this.samples.values().removeIf((sample) -> nowMs - sample.receivedMs >= this.sampleExpiryMs);
		Map<String, Integer> total = new HashMap<>();
		this.samples.forEach((sender, sample) -> {
			if (!sender.equals(hostId)) {
				sample.requests.forEach((server, requests) -> total.merge(server, requests, Integer::sum));
			}
		});
		return total;
	}

	private record Sample(Map<String, Integer> requests, long receivedMs) {

	}

}
