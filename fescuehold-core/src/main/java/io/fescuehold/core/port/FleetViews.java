package io.fescuehold.core.port;

import io.fescuehold.core.view.FleetView;
import reactor.core.publisher.Flux;

/**
 * The configuration in force at this daemon.
 */
public interface FleetViews {

	/**
	 * Returns the newest view.
	 * @return the view, which is empty until the first configuration has been received
	 */
	FleetView current();

	/**
	 * Returns the view and its changes.
	 * @return the current view followed by every newer one
	 */
	Flux<FleetView> changes();

}
