package io.fescuehold.runtime.gateway;

import java.util.Objects;

import io.fescuehold.core.limits.ServingPolicy;
import io.fescuehold.runtime.backend.BackendOptions;

/**
 * Options of a gateway.
 *
 * @param address the IP address on which the gateway listens for callers
 * @param port the port on which the gateway listens for callers
 * @param relayPort the port on which all daemons take requests that others pass on
 * @param failureDomain the failure domain of this daemon
 * @param keyAgeMs the age in milliseconds of the configuration from which on requests
 * with an API key are refused; less than the time within which a revoked key must be
 * rejected
 * @param absenceAgeMs the age in milliseconds of the configuration from which on an
 * unknown route or key is not denied, because it may be newer than the configuration
 * @param retryRatio the retries that the fleet may send for each request
 * @param retryExtra the retries that the fleet may send in addition to the ratio
 * @param retryWindowMs the window in milliseconds over which both retry limits apply
 * @param firstStart whether no process of the fleet has run before
 * @param leavingUseMs the time in milliseconds for which streams may be continued at a
 * server after the list has shown that it is about to stop
 * @param memoryBytes the bytes of bodies and events that the gateway may hold for all
 * requests
 * @param backend the options of connections to servers
 * @param policy the operators' bounds on where and how often requests are sent
 * @param maxConnections the maximum number of connections of callers
 */
public record GatewayOptions(String address, int port, int relayPort, String failureDomain, long keyAgeMs,
		long absenceAgeMs, double retryRatio, double retryExtra, long retryWindowMs, boolean firstStart,
		long leavingUseMs, long memoryBytes, BackendOptions backend, ServingPolicy policy, int maxConnections) {

	/** The connections of callers of a process that may open 4,096 descriptors. */
	public static final int DEFAULT_MAX_CONNECTIONS = 1_024;

	/**
	 * Checks the arguments.
	 */
	public GatewayOptions {
		Objects.requireNonNull(address, "address");
		Objects.requireNonNull(failureDomain, "failureDomain");
		Objects.requireNonNull(backend, "backend");
		Objects.requireNonNull(policy, "policy");
	}

	/**
	 * Creates options without bounds of the operators.
	 * @param address the IP address on which the gateway listens for callers
	 * @param port the port on which the gateway listens for callers
	 * @param relayPort the port on which all daemons take requests that others pass on
	 * @param failureDomain the failure domain of this daemon
	 * @param keyAgeMs the age in milliseconds from which on requests with a key are
	 * refused
	 * @param absenceAgeMs the age in milliseconds from which on an unknown route is not
	 * denied
	 * @param retryRatio the retries that the fleet may send for each request
	 * @param retryExtra the additional retries that the fleet may send
	 * @param retryWindowMs the window in milliseconds of both retry limits
	 * @param firstStart whether no process of the fleet has run before
	 * @param leavingUseMs the time in milliseconds for which a leaving server continues
	 * streams
	 * @param memoryBytes the bytes that the gateway may hold for all requests
	 * @param backend the options of connections to servers
	 */
	public GatewayOptions(String address, int port, int relayPort, String failureDomain, long keyAgeMs,
			long absenceAgeMs, double retryRatio, double retryExtra, long retryWindowMs, boolean firstStart,
			long leavingUseMs, long memoryBytes, BackendOptions backend) {
		this(address, port, relayPort, failureDomain, keyAgeMs, absenceAgeMs, retryRatio, retryExtra, retryWindowMs,
				firstStart, leavingUseMs, memoryBytes, backend, ServingPolicy.NONE, DEFAULT_MAX_CONNECTIONS);
	}

}
