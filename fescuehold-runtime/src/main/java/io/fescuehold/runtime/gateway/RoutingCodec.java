package io.fescuehold.runtime.gateway;

import io.fescuehold.core.routes.RoutingConfig;

/**
 * Decodes a routing configuration from the form in which operators submit it.
 */
@FunctionalInterface
public interface RoutingCodec {

	/**
	 * Decodes a configuration.
	 * @param submitted the bytes that an operator submitted
	 * @return the configuration; errors with code ROUTING_INVALID if any part of it
	 * cannot be decoded
	 */
	RoutingConfig decode(byte[] submitted);

}
