package io.fescuehold.core.entry;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against answers that differ between hosts with different lists and against
 * answers that name hosts that take no callers.
 */
class EntrySelectorTests {

	private final EntrySelector selector = new EntrySelector();

	private static List<EntryHost> hosts() {
		List<EntryHost> hosts = new ArrayList<>();
		for (int index = 0; index < 7; index++) {
			hosts.add(host(index, EntryHost.State.LIVE));
		}
		return hosts;
	}

	private static EntryHost host(int index, EntryHost.State state) {
		return new EntryHost("h" + index, "10.0.0." + index + ":80", "d" + index % 3, state);
	}

	@Test
	void firstTwoChoicesSurviveTheLossOfAnotherHost() {
		List<EntryHost> all = hosts();
		for (int chat = 0; chat < 200; chat++) {
			List<String> before = this.selector.select("c" + chat, all, 30_000).addresses().subList(0, 2);
			for (int gone = 0; gone < 7; gone++) {
				List<EntryHost> fewer = new ArrayList<>(all);
				fewer.remove(gone);
				if (!before.contains(all.get(gone).address())) {
					assertThat(this.selector.select("c" + chat, fewer, 30_000).addresses().subList(0, 2))
						.isEqualTo(before);
				}
			}
		}
	}

	@Test
	void drainingAndDeadHostsAreLeftOutAndDomainsDiffer() {
		List<EntryHost> hosts = hosts();
		hosts.set(1, host(1, EntryHost.State.DRAINING));
		hosts.set(2, host(2, EntryHost.State.DEAD));
		Set<String> firsts = new HashSet<>();
		for (int chat = 0; chat < 200; chat++) {
			List<String> addresses = this.selector.select("c" + chat, hosts, 30_000).addresses();
			assertThat(addresses).doesNotContain("10.0.0.1:80", "10.0.0.2:80");
			assertThat(domain(addresses.get(0))).isNotEqualTo(domain(addresses.get(1)));
			firsts.add(addresses.getFirst());
		}
		assertThat(firsts).hasSize(5);
	}

	private static int domain(String address) {
		return (address.charAt("10.0.0.".length()) - '0') % 3;
	}

	@Test
	void answerWithoutLiveHostsIsEmpty() {
		assertThat(this.selector.select("c", List.of(host(0, EntryHost.State.DEAD)), 5_000))
			.isEqualTo(new EntryAnswer(List.of(), 5_000));
	}

}
