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
 * Selects the server of a service call: of two random servers the one with fewer calls in
 * flight. Servers that failed recently are used only if no other server is left.
 */
final class ServiceServerSelector {

	private static final long RECENT_FAILURE_WINDOW_MS = 2_000;

	private static final long NO_SERVER_RETRY_AFTER_MS = 1_000;

	private final RouterContext context;

	private final Map<String, AtomicInteger> inFlight = new ConcurrentHashMap<>();

	private final Map<String, Long> failedAtMs = new ConcurrentHashMap<>();

	ServiceServerSelector(RouterContext context) {
		this.context = context;
	}

	/**
	 * Selects a server and counts the call as in flight there.
	 * @param service the name of the service
	 * @param spec the newest configuration of the service
	 * @param excluded the servers that failed the call
	 * @return the server
	 * @throws FescueholdException with code NO_SERVER if no server is left
	 */
	SelectedServer select(String service, ServiceSpec spec, Set<String> excluded) {
		List<String> usable = spec.servers()
			.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().state() != ServerState.LEAVING && !excluded.contains(entry.getKey()))
			.map(Map.Entry::getKey)
			.collect(Collectors.toList());
		if (usable.isEmpty()) {
			throw FescueholdException.of(ErrorCode.NO_SERVER, RunStatus.NO, NO_SERVER_RETRY_AFTER_MS, service);
		}
		List<String> healthy = usable.stream().filter((id) -> !failedRecently(key(service, id))).toList();
		List<String> candidates = (healthy.isEmpty()) ? usable : healthy;
		String first = pickRandom(candidates);
		String second = pickRandom(candidates);
		String selected = (load(key(service, first)) <= load(key(service, second))) ? first : second;
		this.inFlight.compute(key(service, selected), (key, count) -> {
			AtomicInteger counted = (count != null) ? count : new AtomicInteger();
			counted.incrementAndGet();
			return counted;
		});
		return new SelectedServer(selected, key(service, selected), spec.servers().get(selected));
	}

	private String pickRandom(List<String> candidates) {
		synchronized (this.context.random()) {
			return candidates.get(this.context.random().nextInt(candidates.size()));
		}
	}

	private boolean failedRecently(String key) {
		Long atMs = this.failedAtMs.get(key);
		return atMs != null && this.context.nowMs() - atMs < RECENT_FAILURE_WINDOW_MS;
	}

	private int load(String key) {
		AtomicInteger count = this.inFlight.get(key);
		return (count != null) ? count.get() : 0;
	}

	/**
	 * Records that a call has ended at a server.
	 * @param selected the server
	 * @param failed whether the server failed the call
	 */
	void callEnded(SelectedServer selected, boolean failed) {
		this.inFlight.computeIfPresent(selected.key(), (key, count) -> (count.decrementAndGet() > 0) ? count : null);
		if (failed) {
			this.failedAtMs.put(selected.key(), this.context.nowMs());
		}
		else {
			this.failedAtMs.remove(selected.key());
		}
	}

	private static String key(String service, String serverId) {
		return service + "/" + serverId;
	}

	/**
	 * The selected server.
	 *
	 * @param serverId the id of the server
	 * @param key the name of the service and the id of the server, joined by a slash
	 * @param spec the configuration of the server
	 */
	record SelectedServer(String serverId, String key, ServiceServerSpec spec) {

	}

}
