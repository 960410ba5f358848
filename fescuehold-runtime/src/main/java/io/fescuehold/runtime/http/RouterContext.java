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
 * What the handlers of a router share.
 *
 * @param options the options
 * @param ports the rest of the daemon
 * @param placement the serialised placement policy
 * @param pools the connections to backend servers
 * @param metrics the metrics
 * @param log the request log
 * @param cancels the streams whose callers have left
 * @param inFlight the work in flight
 * @param scheduler the scheduler of timers
 * @param clockMs the time in milliseconds since the epoch
 * @param random the source of random choices
 */
record RouterContext(RouterOptions options, RouterPorts ports, PlacementPolicy placement, BackendPools pools,
		RouterMetrics metrics, RequestLog log, PendingCancels cancels, InFlight inFlight, Scheduler scheduler,
		LongSupplier clockMs, RandomGenerator random) {

	/**
	 * Returns the time.
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
	Duration until(long deadlineAtMs) {
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
	 * Returns the connections of a model server.
	 * @param spec the server
	 * @return the connections
	 */
	BackendPool pool(ModelServerSpec spec) {
		return this.pools.pool(spec.host(), spec.port());
	}

}
