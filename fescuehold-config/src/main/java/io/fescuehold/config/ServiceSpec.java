package io.fescuehold.config;

import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * A plain HTTP service with its backend servers.
 *
 * @param timeoutMs the time in milliseconds within which the service responds
 * @param nonIdempotent the calls that must run at most once
 * @param servers the backend servers by id
 */
public record ServiceSpec(int timeoutMs, List<NonIdempotentRule> nonIdempotent,
		SortedMap<String, ServiceServerSpec> servers) {

	private static final int MAX_TIMEOUT_MS = 600_000;

	public ServiceSpec {
		Checks.inRange("timeoutMs", timeoutMs, 1, MAX_TIMEOUT_MS);
		nonIdempotent = (nonIdempotent != null) ? List.copyOf(nonIdempotent) : List.of();
		servers = Collections.unmodifiableSortedMap((servers != null) ? new TreeMap<>(servers) : new TreeMap<>());
		servers.keySet().forEach((id) -> Checks.name("servers", id));
	}

	/**
	 * Returns whether a call must run at most once.
	 * @param method the HTTP method of the call
	 * @param path the path below the service name, starting with a slash
	 * @return whether any rule matches the call
	 */
	public boolean isNonIdempotent(String method, String path) {
		return this.nonIdempotent.stream().anyMatch((rule) -> rule.matches(method, path));
	}

}
