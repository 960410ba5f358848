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

	/**
	 * Decodes a configuration that the fleet has agreed on. An earlier version may have
	 * accepted parts that this one refuses; the configuration stays in force.
	 * @param accepted the bytes that an operator submitted
	 * @return the configuration; errors with code ROUTING_INVALID if no version could
	 * have accepted it
	 */
	default RoutingConfig decodeAccepted(byte[] accepted) {
		return decode(accepted);
	}

}
