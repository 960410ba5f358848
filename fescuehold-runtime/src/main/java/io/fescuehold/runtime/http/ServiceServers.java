package io.fescuehold.runtime.http;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;

import io.fescuehold.config.ServerState;
import io.fescuehold.config.ServiceServerSpec;
import io.fescuehold.config.ServiceSpec;
import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.error.RunStatus;

/**
 * Chooses the server of a service call: the less busy of two random ones, ahead of those
 * that failed a short time ago.
 */
final class ServiceServers {

	private static final long FAILURE_MEMORY_MS = 2_000;

	private static final long NO_SERVER_RETRY_MS = 1_000;

	private final RouterContext context;

	private final Map<String, AtomicInteger> inFlight = new ConcurrentHashMap<>();

	private final Map<String, Long> failedAtMs = new ConcurrentHashMap<>();

	ServiceServers(RouterContext context) {
		this.context = context;
	}

	/**
	 * Chooses a server and counts the call there.
	 * @param service the name of the service
	 * @param spec the newest configuration of the service
	 * @param excluded the servers that failed the call
	 * @return the server
	 * @throws FescueholdException with code NO_SERVER if no server is left
	 */
	Chosen choose(String service, ServiceSpec spec, Set<String> excluded) {
		List<String> usable = spec.servers()
			.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().state() != ServerState.LEAVING && !excluded.contains(entry.getKey()))
			.map(Map.Entry::getKey)
			.collect(Collectors.toList());
		if (usable.isEmpty()) {
			throw FescueholdException.of(ErrorCode.NO_SERVER, RunStatus.NO, NO_SERVER_RETRY_MS, service);
		}
		List<String> healthy = usable.stream().filter((id) -> !failedLately(key(service, id))).toList();
		List<String> candidates = (healthy.isEmpty()) ? usable : healthy;
		String first = random(candidates);
		String second = random(candidates);
		String chosen = (load(key(service, first)) <= load(key(service, second))) ? first : second;
		this.inFlight.compute(key(service, chosen), (key, count) -> {
			AtomicInteger counted = (count != null) ? count : new AtomicInteger();
			counted.incrementAndGet();
			return counted;
		});
		return new Chosen(chosen, key(service, chosen), spec.servers().get(chosen));
	}

	private String random(List<String> candidates) {
		synchronized (this.context.random()) {
			return candidates.get(this.context.random().nextInt(candidates.size()));
		}
	}

	private boolean failedLately(String key) {
		Long atMs = this.failedAtMs.get(key);
		return atMs != null && this.context.nowMs() - atMs < FAILURE_MEMORY_MS;
	}

	private int load(String key) {
		AtomicInteger count = this.inFlight.get(key);
		return (count != null) ? count.get() : 0;
	}

	/**
	 * Notes that a call has ended at a server.
	 * @param chosen the server
	 * @param failed whether the server failed the call
	 */
	void ended(Chosen chosen, boolean failed) {
		this.inFlight.computeIfPresent(chosen.key(), (key, count) -> (count.decrementAndGet() > 0) ? count : null);
		if (failed) {
			this.failedAtMs.put(chosen.key(), this.context.nowMs());
		}
		else {
			this.failedAtMs.remove(chosen.key());
		}
	}

	private static String key(String service, String serverId) {
		return service + "/" + serverId;
	}

	/**
	 * A chosen server.
	 *
	 * @param serverId the id
	 * @param key the id together with the service
	 * @param spec the configuration
	 */
	record Chosen(String serverId, String key, ServiceServerSpec spec) {

	}

}
