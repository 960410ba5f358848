package io.fescuehold.runtime.gateway;

import java.util.HashMap;
import java.util.Map;

import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.error.RunStatus;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link RelayHop}.
 */
class RelayHopTests {

	// Guards against callers that bind a stream to a version of their choice (incident
	// "cut-off hosts").
	@Test
	void headersOfHostsAreNotAcceptedFromCallers() {
		Map<String, String> headers = new HashMap<>(
				Map.of("Fescuehold-Relay-Version", "v9", "Fescuehold-Relay-Attempts", "-9", "X-Custom", "kept"));
		new RelayHop(1, null).write(headers);
		assertThat(headers).containsOnly(Map.entry("fescuehold-relay-attempts", "1"), Map.entry("X-Custom", "kept"));
	}

	// No other host reaches more servers of the domain, so none is tried.
	@Test
	void refusalBecauseOfAnEvacuationIsReadByEarlierVersions() {
		FescueholdException refusal = FescueholdException.of(ErrorCode.DOMAIN_EVACUATED, RunStatus.NO, 1_000, "s");
		assertThat(RelayHop.encode(refusal)).isEqualTo("OVERLOADED,NO,1000");
	}

}
