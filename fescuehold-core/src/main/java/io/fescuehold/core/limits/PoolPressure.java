package io.fescuehold.core.limits;

import java.util.Map;

import io.fescuehold.config.ModelServerSpec;
import io.fescuehold.config.ServerState;
import io.fescuehold.core.placement.ServerLoad;
import io.fescuehold.core.view.FleetView;

/**
 * How congested a model pool is.
 *
 * @param meanTokens the mean of the reported outstanding tokens per server
 * @param congestionTokens the mean above which the pool counts as congested and teams are
 * limited to their weighted shares
 * @param capacityTokensPerS the total speed of all servers of the pool in tokens per
 * second
 */
public record PoolPressure(double meanTokens, double congestionTokens, double capacityTokensPerS) {

	/**
	 * Computes the pressure of a pool from the load reports of its servers, without those
	 * that are leaving.
	 * @param view the configuration in force
	 * @param share the share that owns the servers
	 * @param model the model
	 * @param loads the newest load reports by server id
	 * @return the pressure
	 */
	public static PoolPressure of(FleetView view, String share, String model, Map<String, ServerLoad> loads) {
		double tokens = 0;
		int reports = 0;
		double capacity = 0;
		for (Map.Entry<String, FleetView.Owned<ModelServerSpec>> entry : view.modelServers().entrySet()) {
			ModelServerSpec spec = entry.getValue().spec();
			if (!entry.getValue().share().equals(share) || spec.state() == ServerState.LEAVING
					|| !spec.models().contains(model)) {
				continue;
			}
			capacity += spec.tokensPerS();
			ServerLoad load = loads.get(entry.getKey());
			if (load != null) {
				tokens += load.outstandingTokens();
				reports++;
			}
		}
		double mean = (reports > 0) ? tokens / reports : 0;
		return new PoolPressure(mean, view.shares().get(share).policy().congestionTokens(), capacity);
	}

	/**
	 * Tells whether the pool is congested.
	 * @return whether the mean is above the limit
	 */
	public boolean isCongested() {
		return this.meanTokens > this.congestionTokens;
	}

	/**
	 * Returns the mean as a multiple of the limit.
	 * @return the ratio, above 1 while the pool is congested
	 */
	public double ratio() {
		return this.meanTokens / this.congestionTokens;
	}

}
