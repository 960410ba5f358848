package io.fescuehold.runtime.gateway;

import io.fescuehold.core.routes.RoutingConfig;

/**
 * Reads a configuration of routes in the form in which operators submit it.
 */
@FunctionalInterface
public interface RoutingCodec {

	/**
	 * Reads a configuration.
	 * @param submitted the bytes that an operator submitted
	 * @return the configuration; errors with code ROUTING_INVALID if it cannot be read in
	 * full
	 */
	RoutingConfig decode(byte[] submitted);

}
