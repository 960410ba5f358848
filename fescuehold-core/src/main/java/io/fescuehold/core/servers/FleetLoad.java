package io.fescuehold.core.servers;

import java.util.HashMap;
import java.util.Map;

/**
 * The requests that all daemons hold at each server, collected by the leader from the
 * daemons' samples.
 */
public final class FleetLoad {

	private final long sampleLifeMs;

	private final Map<String, Sample> samples = new HashMap<>();

	/**
	 * Creates an empty collection.
	 * @param sampleLifeMs the time in milliseconds after which a sample no longer counts
	 */
	public FleetLoad(long sampleLifeMs) {
		this.sampleLifeMs = sampleLifeMs;
	}

	/**
	 * Takes over a sample.
	 * @param hostId the daemon
	 * @param requests the requests that it holds by server
	 * @param nowMs the time in milliseconds
	 */
	public void put(String hostId, Map<String, Integer> requests, long nowMs) {
		this.samples.put(hostId, new Sample(Map.copyOf(requests), nowMs));
	}

	/**
	 * Sums up the samples of all daemons but one.
	 * @param hostId the daemon that is left out
	 * @param nowMs the time in milliseconds
	 * @return the requests by server
	 */
	public Map<String, Integer> totalWithout(String hostId, long nowMs) {
		this.samples.values().removeIf((sample) -> nowMs - sample.takenMs >= this.sampleLifeMs);
		Map<String, Integer> total = new HashMap<>();
		this.samples.forEach((sender, sample) -> {
			if (!sender.equals(hostId)) {
				sample.requests.forEach((server, requests) -> total.merge(server, requests, Integer::sum));
			}
		});
		return total;
	}

	private record Sample(Map<String, Integer> requests, long takenMs) {

	}

}
