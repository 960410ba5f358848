package io.fescuehold.bench.experiment;

import io.fescuehold.bench.experiment.baseline.PolicyKind;
import io.fescuehold.core.placement.PlacementTuning;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a placement policy that loses its cache reuse while servers churn or
 * while KV caches cannot be imported, and against requests that are never placed.
 */
class PlacementSimulationTests {

	private static final double MIN_REUSE_RATIO = 0.95;

	private static RunResult run(String deployment, PolicyKind policy, boolean churn, boolean imports) {
		return new PlacementSimulation(new RunOptions(Deployment.of(deployment), policy, 1, 120, 3_000, churn, imports,
				1, PlacementTuning.DEFAULT))
			.run();
	}

	@ParameterizedTest
	@CsvSource({ "tarawera, true, true", "fiji, true, true", "tarawera, false, false", "fiji, false, false" })
	void reuseIsCloseToThatOfFullKnowledge(String deployment, boolean churn, boolean imports) {
		RunResult reference = run(deployment, PolicyKind.FULL_KNOWLEDGE, churn, imports);
		RunResult result = run(deployment, PolicyKind.BOUNDED_LOAD, churn, imports);
		assertThat(result.reuse()).isGreaterThanOrEqualTo(MIN_REUSE_RATIO * reference.reuse());
		assertThat(result.unplaced()).isZero();
	}

}
