package io.fescuehold.core.streamversion;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import io.fescuehold.core.servers.BackendServer;

/**
 * The software versions that can have begun a stream that is still to be continued: those
 * in the list of servers and those that left it within the retention. Not thread-safe:
 * confined to one thread.
 */
public final class ServedVersions {

	private final Map<String, Map<String, Long>> leftAtMsByService = new HashMap<>();

	/**
	 * What other hosts have observed. It is not passed on, so that a version which has
	 * left is forgotten.
	 */
	private final Map<String, Map<String, Long>> reportedAtMsByService = new HashMap<>();

	private Map<String, Set<String>> listed = new HashMap<>();

	private final Map<String, Map<String, Long>> listedSinceMsByService = new HashMap<>();

	private long retentionMs;

	private long knownSinceMs;

	/**
	 * Creates a collection without versions.
	 * @param retentionMs the time in milliseconds for which a stream can be continued
	 * @param nowMs the time in milliseconds
	 */
	public ServedVersions(long retentionMs, long nowMs) {
		this.retentionMs = retentionMs;
		this.knownSinceMs = nowMs;
	}

	/**
	 * Sets the retention.
	 * @param retentionMs the time in milliseconds for which a stream can be continued
	 */
	public void setRetention(long retentionMs) {
		this.retentionMs = retentionMs;
	}

	/**
	 * Declares that no version served before now apart from those that were added, for
	 * example because the whole fleet starts for the first time.
	 */
	public void markComplete() {
		this.knownSinceMs = Long.MIN_VALUE / 2;
	}

	/**
	 * Returns whether all versions that served within the retention are known.
	 * @param nowMs the time in milliseconds
	 * @return whether versions have been observed for at least that long
	 */
	public boolean isComplete(long nowMs) {
		return nowMs - this.knownSinceMs >= this.retentionMs;
	}

	/**
	 * Applies a new list of servers.
	 * @param servers the servers of all services
	 * @param nowMs the time in milliseconds
	 */
	public void observe(Collection<BackendServer> servers, long nowMs) {
		this.listed.forEach((service, versions) -> add(this.leftAtMsByService, service, versions, nowMs));
		this.listed = new HashMap<>();
		for (BackendServer server : servers) {
			this.listed.computeIfAbsent(server.service(), (service) -> new TreeSet<>()).add(server.versionName());
			this.listedSinceMsByService.computeIfAbsent(server.service(), (service) -> new HashMap<>())
				.putIfAbsent(server.versionName(), nowMs);
		}
		this.listedSinceMsByService
			.forEach((service, since) -> since.keySet().retainAll(this.listed.getOrDefault(service, Set.of())));
		this.listedSinceMsByService.values().removeIf(Map::isEmpty);
	}

	/**
	 * Returns for how long the list of servers has named a version.
	 * @param service the service
	 * @param version the version
	 * @param nowMs the time in milliseconds
	 * @return the time in milliseconds, as much as can be if the list does not name it
	 */
	public long listedMs(String service, String version, long nowMs) {
		Long sinceMs = this.listedSinceMsByService.getOrDefault(service, Map.of()).get(version);
		return (sinceMs != null) ? nowMs - sinceMs : Long.MAX_VALUE;
	}

	/**
	 * Adds versions that another host has observed.
	 * @param service the service
	 * @param versions the versions
	 * @param nowMs the time in milliseconds
	 */
	public void addReported(String service, Collection<String> versions, long nowMs) {
		add(this.reportedAtMsByService, service, versions, nowMs);
	}

	private static void add(Map<String, Map<String, Long>> byService, String service, Collection<String> versions,
			long nowMs) {
		Map<String, Long> seenAtMs = byService.computeIfAbsent(service, (name) -> new HashMap<>());
		versions.forEach((version) -> seenAtMs.put(version, nowMs));
	}

	/**
	 * Returns the versions of a service.
	 * @param service the service
	 * @param nowMs the time in milliseconds
	 * @return the versions that can have begun a stream, in alphabetical order
	 */
	public Set<String> of(String service, long nowMs) {
		Set<String> versions = observed(service, nowMs);
		versions.addAll(since(this.reportedAtMsByService, service, nowMs));
		return versions;
	}

	private Set<String> observed(String service, long nowMs) {
		Set<String> versions = since(this.leftAtMsByService, service, nowMs);
		versions.addAll(this.listed.getOrDefault(service, Set.of()));
		return versions;
	}

	private Set<String> since(Map<String, Map<String, Long>> byService, String service, long nowMs) {
		Set<String> versions = new TreeSet<>();
		byService.getOrDefault(service, Map.of()).forEach((version, seenAtMs) -> {
			if (nowMs - seenAtMs < this.retentionMs) {
				versions.add(version);
			}
		});
		return versions;
	}

	/**
	 * Returns whether the version of a stream may not follow from its service.
	 * @param service the service
	 * @param nowMs the time in milliseconds
	 * @return whether more than one version can have begun a stream, or versions may be
	 * unknown
	 */
	public boolean isAmbiguous(String service, long nowMs) {
		return !isComplete(nowMs) || of(service, nowMs).size() > 1;
	}

	/**
	 * Returns the versions of all services.
	 * @param nowMs the time in milliseconds
	 * @return the versions by service, those that other hosts reported included
	 */
	public Map<String, Set<String>> all(long nowMs) {
		Map<String, Set<String>> versions = new TreeMap<>();
		services().forEach((service) -> versions.put(service, of(service, nowMs)));
		return versions;
	}

	/**
	 * Returns the versions that this host has observed itself.
	 * @param nowMs the time in milliseconds
	 * @return the versions by service
	 */
	public Map<String, Set<String>> observed(long nowMs) {
		Map<String, Set<String>> versions = new TreeMap<>();
		services().forEach((service) -> versions.put(service, observed(service, nowMs)));
		return versions;
	}

	private Set<String> services() {
		Set<String> services = new TreeSet<>(this.listed.keySet());
		services.addAll(this.leftAtMsByService.keySet());
		services.addAll(this.reportedAtMsByService.keySet());
		return services;
	}

	/**
	 * Removes the versions that left the list before the retention.
	 * @param nowMs the time in milliseconds
	 */
	public void expire(long nowMs) {
		expire(this.leftAtMsByService, nowMs);
		expire(this.reportedAtMsByService, nowMs);
	}

	private void expire(Map<String, Map<String, Long>> byService, long nowMs) {
		byService.values()
			.forEach((seenAtMs) -> seenAtMs.values().removeIf((seenMs) -> nowMs - seenMs >= this.retentionMs));
		byService.values().removeIf(Map::isEmpty);
	}

}
