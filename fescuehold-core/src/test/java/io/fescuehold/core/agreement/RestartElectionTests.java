package io.fescuehold.core.agreement;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests when a restarted replica starts an election: never while a lease that it may have
 * acknowledged before the restart can be valid, and soon afterwards.
 */
class RestartElectionTests {

	private static final AgreementTiming TIMING = new AgreementTiming(150, 600, 450, 400);

	private static final ReplicaId SELF = new ReplicaId("a", "store-a");

	private static final ReplicaId OTHER = new ReplicaId("b", "store-b");

	@Test
	void replicaOfAProcessThatRanForALongTimeElectsAtOnce() {
		for (int seed = 0; seed < 20; seed++) {
			long elected = firstElectionMs(seed, 10_000, 5_000);
			assertThat(elected).isBetween(10_000L, 10_000L + TIMING.electionTimeoutMs() / 2 + 1);
		}
	}

	@Test
	void leaseThatMayHaveBeenAcknowledgedIsWaitedFor() {
		for (int seed = 0; seed < 20; seed++) {
			assertThat(firstElectionMs(seed, 10_000, 9_900)).isGreaterThan(9_900L + TIMING.leaseMs());
			assertThat(firstElectionMs(seed, 10_000, 10_000))
				.isGreaterThanOrEqualTo(10_000L + TIMING.electionTimeoutMs());
		}
	}

	@Test
	void voteIsRefusedWhileSuchALeaseMayBeValid() {
		assertThat(grantsPreVote(9_900, 10_300)).isFalse();
		assertThat(grantsPreVote(9_900, 9_900 + TIMING.leaseMs() + TIMING.leaseMs() / 5)).isTrue();
	}

	@Test
	void votersThatStartAfterTheFirstCandidateAreAskedSoon() {
		for (int seed = 0; seed < 20; seed++) {
			AgreementNode node = node(seed, 10_000, 5_000);
			List<Long> askedMs = new ArrayList<>();
			for (long nowMs = 10_000; nowMs < 12_000; nowMs += 5) {
				node.tick(nowMs);
				long now = nowMs;
				node.takeOutputs(nowMs)
					.stream()
					.filter((output) -> output instanceof Output.Send(String host, AgreementMessage.PreVoteRequest ask))
					.forEach((output) -> askedMs.add(now));
			}
			for (int index = 1; index < askedMs.size(); index++) {
				assertThat(askedMs.get(index) - askedMs.get(index - 1)).isLessThan(TIMING.electionTimeoutMs() / 2);
			}
			assertThat(askedMs).hasSizeGreaterThan(5);
		}
	}

	private static long firstElectionMs(int seed, long startMs, long silentSinceMs) {
		AgreementNode node = node(seed, startMs, silentSinceMs);
		for (long nowMs = startMs; nowMs < startMs + 5_000; nowMs += 5) {
			node.tick(nowMs);
			if (node.role() != Role.FOLLOWER) {
				return nowMs;
			}
			node.takeOutputs(nowMs);
		}
		return Long.MAX_VALUE;
	}

	private static boolean grantsPreVote(long silentSinceMs, long nowMs) {
		AgreementNode node = node(1, 10_000, silentSinceMs);
		node.receive(nowMs, new AgreementMessage.PreVoteRequest("g", OTHER, SELF, 9, 100, 5));
		return node.takeOutputs(nowMs)
			.stream()
			.anyMatch((output) -> output instanceof Output.Send(String host, AgreementMessage.PreVoteReply reply)
					&& reply.granted());
	}

	private static AgreementNode node(int seed, long startMs, long silentSinceMs) {
		List<Member> members = new ArrayList<>();
		members.add(new Member(SELF, "d1", true));
		members.add(new Member(OTHER, "d2", true));
		byte[] membership = MembershipCodec.encode(new Membership(members, null, List.of()));
		StoredState stored = new StoredState(new HardState(5, null), null,
				List.of(new LogEntry(1, 0, EntryKind.MEMBERSHIP, membership)));
		AgreementOptions options = new AgreementOptions("g", SELF, List.of(), Map.of(), TIMING, 100, 1 << 20, 1 << 20,
				100);
		return new AgreementNode(options, stored, new Random(seed), startMs, silentSinceMs);
	}

}
