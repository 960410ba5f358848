package io.fescuehold.core.port;

import io.fescuehold.core.view.FleetView;
import reactor.core.publisher.Flux;

/**
 * The configuration in force at this daemon.
 */
public interface FleetViews {

	/**
	 * Returns the newest view.
	 * @return the view, which is empty until a first configuration has arrived
	 */
	FleetView current();

	/**
	 * Returns the views as they change.
	 * @return the current view followed by every newer one
	 */
	Flux<FleetView> changes();

}
