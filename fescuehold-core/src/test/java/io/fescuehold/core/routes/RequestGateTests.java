package io.fescuehold.core.routes;

import java.util.List;

import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.RunStatus;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a daemon with an old configuration neither honours keys nor denies routes.
 */
class RequestGateTests {

	private static final long KEY_AGE_LIMIT_MS = 4_000;

	private static final long ABSENCE_AGE_LIMIT_MS = 1_000;

	private final RequestGate gate = new RequestGate(KEY_AGE_LIMIT_MS, ABSENCE_AGE_LIMIT_MS);

	private final Route open = new Route("open", "h.example", "/open/", RouteKind.IDEMPOTENT, false, 10, 10, 0, 0,
			List.of(new ServiceWeight("service", 1)), 1, true);

	private final RouteTable table = new RouteTable(
			RoutingSamples.config(1, List.of(RoutingSamples.route("keyed", "/keyed/"), this.open)));

	@Test
	void knownKeyIsAdmittedUntilTheConfigurationIsTooOld() {
		assertThat(decide("/keyed/x", "key-1", KEY_AGE_LIMIT_MS - 1)).isInstanceOfSatisfying(
				GateDecision.Admitted.class, (admitted) -> assertThat(admitted.team().name()).isEqualTo("team-1"));
		assertStale(decide("/keyed/x", "key-1", KEY_AGE_LIMIT_MS));
	}

	@Test
	void unknownKeyIsDeniedOnlyUnderARecentConfiguration() {
		assertThat(codeOf(decide("/keyed/x", "key-9", 0))).isEqualTo(ErrorCode.UNKNOWN_KEY);
		assertStale(decide("/keyed/x", "key-9", ABSENCE_AGE_LIMIT_MS));
	}

	@Test
	void missingKeyIsDenied() {
		assertThat(codeOf(decide("/keyed/x", null, 0))).isEqualTo(ErrorCode.UNKNOWN_KEY);
	}

	@Test
	void unknownRouteIsDeniedOnlyUnderARecentConfiguration() {
		assertThat(codeOf(decide("/other/x", "key-1", ABSENCE_AGE_LIMIT_MS - 1))).isEqualTo(ErrorCode.NO_ROUTE);
		assertStale(decide("/other/x", "key-1", ABSENCE_AGE_LIMIT_MS));
	}

	@Test
	void openRouteNeedsNeitherKeyNorRecentConfiguration() {
		assertThat(decide("/open/x", null, 60_000)).isInstanceOf(GateDecision.Admitted.class);
	}

	@Test
	void withoutAConfigurationNothingIsDenied() {
		assertStale(this.gate.decide(null, Long.MAX_VALUE / 2, "h.example", "/open/x", null));
	}

	private GateDecision decide(String path, String key, long ageMs) {
		return this.gate.decide(this.table, ageMs, "h.example", path, key);
	}

	private static ErrorCode codeOf(GateDecision decision) {
		return ((GateDecision.Refused) decision).refusal().code();
	}

	private static void assertStale(GateDecision decision) {
		assertThat(decision).isInstanceOfSatisfying(GateDecision.Refused.class, (refused) -> {
			assertThat(refused.refusal().code()).isEqualTo(ErrorCode.ROUTING_STALE);
			assertThat(refused.refusal().run()).isEqualTo(RunStatus.NO);
			assertThat(refused.refusal().retryAfterMs()).isPositive();
		});
	}

}
