package io.fescuehold.runtime.gateway;

import java.util.Objects;

import io.fescuehold.runtime.backend.BackendOptions;

/**
 * Options of a gateway.
 *
 * @param address the IP number that callers reach
 * @param port the port that callers reach
 * @param failureDomain the own failure domain
 * @param keyAgeMs the age in milliseconds of the configuration from which on requests
 * with a key are refused; below the time within which a revoked key must be out of use
 * @param absenceAgeMs the age in milliseconds of the configuration from which on an
 * unknown route or key may only be too new to be known
 * @param retryRatio the repeats that the fleet may send for each request
 * @param retryExtra the repeats that the fleet may send besides
 * @param retryWindowMs the window in milliseconds of the two limits
 * @param backend the limits of connections to servers
 */
public record GatewayOptions(String address, int port, String failureDomain, long keyAgeMs, long absenceAgeMs,
		double retryRatio, double retryExtra, long retryWindowMs, BackendOptions backend) {

	/**
	 * Checks the arguments.
	 */
	public GatewayOptions {
		Objects.requireNonNull(address, "address");
		Objects.requireNonNull(failureDomain, "failureDomain");
		Objects.requireNonNull(backend, "backend");
	}

}
