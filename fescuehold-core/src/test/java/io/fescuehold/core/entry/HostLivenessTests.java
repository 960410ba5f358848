package io.fescuehold.core.entry;

import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against entry responses that name dead or leaving hosts, and against a lagging
 * host list that revives one.
 */
class HostLivenessTests {

	private final HostLiveness liveness = new HostLiveness("self", 0);

	@Test
	void hostIsDeadAfterItsSilenceAndLiveAgainWhenItAnswers() {
		assertThat(this.liveness.state("a", 2_900)).isEqualTo(EntryHost.State.LIVE);
		assertThat(this.liveness.state("a", 3_100)).isEqualTo(EntryHost.State.DEAD);
		this.liveness.answered("a", false, 4_000);
		assertThat(this.liveness.state("a", 6_900)).isEqualTo(EntryHost.State.LIVE);
		assertThat(this.liveness.state("a", 7_100)).isEqualTo(EntryHost.State.DEAD);
	}

	@Test
	void drainingIsTakenFromTheHostItself() {
		this.liveness.answered("a", true, 100);
		assertThat(this.liveness.state("a", 200)).isEqualTo(EntryHost.State.DRAINING);
		this.liveness.drainSelf();
		assertThat(this.liveness.state("self", 200)).isEqualTo(EntryHost.State.DRAINING);
	}

	@Test
	void listMarksLeavingHostsButNeverRevivesASilentOne() {
		this.liveness.answered("a", false, 100);
		this.liveness.listLeaving(Set.of("a"));
		assertThat(this.liveness.state("a", 200)).isEqualTo(EntryHost.State.DRAINING);
		assertThat(this.liveness.state("a", 9_000)).isEqualTo(EntryHost.State.DEAD);
		this.liveness.listLeaving(Set.of());
		assertThat(this.liveness.state("a", 9_000)).isEqualTo(EntryHost.State.DEAD);
		assertThat(this.liveness.state("a", 200)).isEqualTo(EntryHost.State.LIVE);
	}

}
