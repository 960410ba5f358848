package io.fescuehold.runtime.gateway;

import java.util.HashMap;
import java.util.Map;

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

}
