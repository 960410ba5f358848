package io.fescuehold.runtime.http;

import java.time.Duration;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

import io.fescuehold.config.ModelServerSpec;
import io.fescuehold.config.PolicySpec;
import io.fescuehold.config.ShareConfig;
import io.fescuehold.core.placement.PlacementPolicy;
import io.fescuehold.core.view.FleetView;
import io.fescuehold.runtime.backend.BackendPool;
import io.fescuehold.runtime.backend.BackendPools;
import reactor.core.scheduler.Scheduler;

/**
 * The dependencies that the request handlers of a router share.
 *
 * @param options the options
 * @param ports the interfaces to the rest of the daemon
 * @param placement the serialised placement policy
 * @param pools the connection pools of backend servers
 * @param metrics the metrics
 * @param log the request log
 * @param pendingCancels the pending cancellations of streams whose callers have
 * disconnected
 * @param inFlight the requests and call records in flight
 * @param scheduler the scheduler of timers
 * @param clockMs the time in milliseconds since the epoch
 * @param random the source of random choices
 */
record RouterContext(RouterOptions options, RouterPorts ports, PlacementPolicy placement, BackendPools pools,
		RouterMetrics metrics, RequestLog log, PendingCancels pendingCancels, InFlightRequests inFlight,
		Scheduler scheduler, LongSupplier clockMs, RandomGenerator random) {

	/**
	 * Returns the current time.
	 * @return the time in milliseconds since the epoch
	 */
	long nowMs() {
		return this.clockMs.getAsLong();
	}

	/**
	 * Returns the time left until a deadline.
	 * @param deadlineAtMs the deadline in milliseconds since the epoch
	 * @return the time left, at least 1 ms
	 */
	Duration remaining(long deadlineAtMs) {
		return Duration.ofMillis(Math.max(1, deadlineAtMs - nowMs()));
	}

	/**
	 * Returns the configuration in force.
	 * @return the view
	 */
	FleetView view() {
		return this.ports.views().current();
	}

	/**
	 * Returns the policy of a share.
	 * @param share the share
	 * @return the policy, or the default one if the share is unknown
	 */
	PolicySpec policy(String share) {
		ShareConfig config = view().shares().get(share);
		return (config != null) ? config.policy() : PolicySpec.DEFAULT;
	}

	/**
	 * Returns the connection pool of a model server.
	 * @param spec the server
	 * @return the connection pool
	 */
	BackendPool pool(ModelServerSpec spec) {
		return this.pools.pool(spec.host(), spec.port());
	}

}
