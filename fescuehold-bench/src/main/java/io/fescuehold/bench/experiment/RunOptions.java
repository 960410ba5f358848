package io.fescuehold.bench.experiment;

import io.fescuehold.bench.experiment.baseline.PolicyKind;
import io.fescuehold.core.placement.PlacementTuning;

/**
 * The parameters of a run.
 *
 * @param deployment the size and traffic
 * @param policy the policy
 * @param seed the seed of traffic and churn
 * @param seconds the virtual time of the run, of which the first half is not measured
 * @param reportLagMs the age of the oldest report that routers act on
 * @param churn whether servers join, leave, crash and flap
 * @param imports whether KV caches can be imported
 * @param granularity the factor by which requests are smaller and more frequent
 * @param tuning the constants of the router's placement policy
 */
public record RunOptions(Deployment deployment, PolicyKind policy, long seed, int seconds, int reportLagMs,
		boolean churn, boolean imports, double granularity, PlacementTuning tuning) {

}
