package io.fescuehold.core.routes;

import java.util.Objects;

/**
 * A service that receives a fraction of a route's requests.
 *
 * @param service the name of the service
 * @param weight the weight, relative to the weights of the route's other services
 */
public record ServiceWeight(String service, int weight) {

	/**
	 * Checks the arguments.
	 */
	public ServiceWeight {
		Objects.requireNonNull(service, "service");
	}

}
