package io.fescuehold.core.routes;

import java.util.List;
import java.util.Objects;

/**
 * A route: the requests that it matches, the services that run them and their objectives.
 *
 * @param name the name of the route
 * @param hostName the host name that requests must carry
 * @param pathPrefix the prefix of the path, which begins and ends with a slash
 * @param kind how requests may be repeated
 * @param resumable whether a stream may be continued by another server
 * @param timeoutMs the maximum time in milliseconds until the final answer
 * @param objectiveMs the latency objective in milliseconds, for streams until the first
 * event
 * @param gapObjectiveMs the longest pause between events in milliseconds that still meets
 * the objective, or 0
 * @param priority the rank, 0 is the most urgent
 * @param services the services that run the requests
 * @param maxAttempts the maximum number of servers that one request is sent to
 * @param open whether requests need no key
 */
public record Route(String name, String hostName, String pathPrefix, RouteKind kind, boolean resumable, int timeoutMs,
		int objectiveMs, int gapObjectiveMs, int priority, List<ServiceWeight> services, int maxAttempts,
		boolean open) {

	/** The number of priorities of routes that are told apart. */
	public static final int PRIORITIES = 3;

	/**
	 * Checks the arguments and copies the list.
	 */
	public Route {
		Objects.requireNonNull(hostName, "hostName");
		Objects.requireNonNull(pathPrefix, "pathPrefix");
		Objects.requireNonNull(kind, "kind");
		services = List.copyOf(services);
	}

	/**
	 * Returns whether a request may run more than once.
	 * @return true for idempotent routes and for streams that may be continued elsewhere
	 */
	public boolean isRepeatable() {
		return this.kind == RouteKind.IDEMPOTENT || (this.kind == RouteKind.STREAMING && this.resumable);
	}

	/**
	 * Returns whether the response is a series of events.
	 * @return whether the route streams
	 */
	public boolean isStreaming() {
		return this.kind == RouteKind.STREAMING;
	}

	/**
	 * Chooses the service of a request in proportion to the weights.
	 * @param unit a number from 0 to below 1 that is the same for each attempt at the
	 * request
	 * @return the name of the service
	 */
	public String serviceFor(double unit) {
		long total = this.services.stream().mapToLong(ServiceWeight::weight).sum();
		double position = unit * total;
		for (ServiceWeight candidate : this.services) {
			position -= candidate.weight();
			if (position < 0) {
				return candidate.service();
			}
		}
		return this.services.getLast().service();
	}

}
