package io.fescuehold.runtime.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import io.fescuehold.core.membership.HostRecord;
import io.fescuehold.core.membership.HostState;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against shares of a limit that add up to more than the limit while hosts start
 * or drain (BUDGET).
 */
class GatewayBeliefTests {

	@Test
	void hostsInEveryStateShareTheLimitOfAServer() {
		GatewayBelief belief = new GatewayBelief("host-0", (submitted) -> TestGateway.config(), () -> 0,
				new SplittableRandom(1));
		List<HostRecord> hosts = new ArrayList<>();
		for (HostState state : HostState.values()) {
			hosts.add(new HostRecord("host-" + state.ordinal(), "a", 1, null, state));
		}
		belief.onHosts(hosts);
		assertThat(hosts.size() * belief.loadFraction("service")).isLessThanOrEqualTo(1);
	}

}
