package io.fescuehold.core.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;

import io.fescuehold.core.membership.HostRecord;
import io.fescuehold.core.membership.HostState;
import io.fescuehold.core.routes.ColdStart;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against cold servers that crash because the hosts together send more than they
 * tolerate (FAILBACK). Each host sends as much as it may, as in the second in which all
 * servers of a failure domain return and hold no requests.
 */
class ColdSharesTests {

	private static final ColdBudget BUDGET = ColdBudget.of(new ColdStart(3_000, 17), new ServingPolicy(1.5, 5, 0, 0));

	/** What the rule allows in a second, 17 x 1.5 + 5. */
	private static final int BOUND = 30;

	private static final int SERVERS = 12;

	private static final int STEP_MS = 20;

	private static final long READY_MS = ColdShares.JOIN_MS + STEP_MS;

	private final Map<String, ColdShares> hosts = new TreeMap<>();

	private final Map<String, Long> confirmedAtMs = new HashMap<>();

	private final Map<Integer, List<Long>> sentAtMs = new HashMap<>();

	private long nowMs;

	private void start(int from, int to) {
		IntStream.range(from, to).mapToObj(ColdSharesTests::id).forEach((id) -> this.hosts.put(id, new ColdShares(id)));
	}

	private static String id(int host) {
		return "10.0.0." + host;
	}

	private static List<HostRecord> list(int from, int to) {
		return IntStream.range(from, to)
			.mapToObj((host) -> new HostRecord(id(host), "a", 1, null, HostState.READY))
			.toList();
	}

	private void confirm(int from, int to, List<HostRecord> list) {
		for (int host = from; host < to; host++) {
			this.hosts.get(id(host)).observe(list, this.nowMs);
			this.confirmedAtMs.put(id(host), this.nowMs);
		}
	}

	private void play(long forMs, Runnable confirmation) {
		for (long endMs = this.nowMs + forMs; this.nowMs < endMs; this.nowMs += STEP_MS) {
			confirmation.run();
			this.hosts
				.forEach((id, shares) -> IntStream.range(0, SERVERS).forEach((server) -> send(id, shares, server)));
		}
	}

	private void send(String hostId, ColdShares shares, int server) {
		long ageMs = this.nowMs - this.confirmedAtMs.getOrDefault(hostId, Long.MIN_VALUE / 2);
		if (shares.hasRoom("i-" + server, BUDGET, ageMs, this.nowMs)) {
			shares.place("i-" + server, this.nowMs);
			if (shares.trySend("i-" + server, BUDGET, ageMs, this.nowMs)) {
				this.sentAtMs.computeIfAbsent(server, (index) -> new ArrayList<>()).add(this.nowMs);
			}
		}
	}

	private void assertBound(int bound) {
		this.sentAtMs.forEach((server, times) -> {
			for (int last = bound; last < times.size(); last++) {
				assertThat(times.get(last) - times.get(last - bound)).as("server %d", server).isGreaterThan(1_000);
			}
		});
	}

	private double meanPerS(long fromMs) {
		long sent = this.sentAtMs.values().stream().flatMap(List::stream).filter((time) -> time >= fromMs).count();
		return sent * 1_000.0 / (this.nowMs - fromMs) / SERVERS;
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, 5, 35, 128 })
	void domainThatReturnsAtOnceGetsWhatItToleratesFromAllHosts(int count) {
		start(0, count);
		List<HostRecord> all = list(0, count);
		play(READY_MS + 5_000, () -> confirm(0, count, all));
		assertBound(BUDGET.requests());
		assertThat(meanPerS(ColdShares.JOIN_MS)).isBetween(14.0, 17.0);
	}

	@Test
	void hostsThatSeeDifferentListsStayWithinTheBound() {
		start(0, 128);
		List<HostRecord> all = list(0, 128);
		List<List<HostRecord>> views = IntStream.range(0, 8).mapToObj((lag) -> list(0, 120 + lag)).toList();
		play(READY_MS, () -> confirm(0, 128, all));
		this.hosts.entrySet().forEach((entry) -> entry.setValue(new ColdShares(entry.getKey())));
		play(READY_MS + 3_000, () -> IntStream.range(0, 120)
			.forEach((host) -> confirm(host, host + 1, views.get(host % views.size()))));
		assertBound(BOUND);
		assertThat(meanPerS(READY_MS + ColdShares.JOIN_MS)).isGreaterThan(12);
	}

	@ParameterizedTest
	@ValueSource(ints = { 35, 128 })
	void halvesOfACutFleetDoNotAddUpToMore(int count) {
		int half = count / 2;
		start(0, count);
		List<HostRecord> all = list(0, count);
		List<HostRecord> rest = list(0, half);
		play(READY_MS + 1_000, () -> confirm(0, count, all));
		// The cut-off half still holds the old list, the other one drops it after 2 s.
		play(2_000, () -> confirm(0, half, all));
		play(20_000, () -> confirm(0, half, rest));
		long healedMs = this.nowMs;
		play(500, () -> confirm(0, count, rest));
		play(3_000, () -> confirm(0, count, all));
		assertBound(BUDGET.requests());
		assertThat(meanPerS(healedMs)).isGreaterThan(12);
	}

	@Test
	void thawedHostSendsNothingUntilItsListIsConfirmed() {
		start(0, 1);
		List<HostRecord> all = list(0, 1);
		play(READY_MS, () -> confirm(0, 1, all));
		this.nowMs += 5_000;
		long thawedMs = this.nowMs;
		play(1_000, () -> {
		});
		assertThat(meanPerS(thawedMs)).isZero();
		play(1_000, () -> confirm(0, 1, all));
		assertThat(meanPerS(thawedMs)).isPositive();
	}

	@Test
	void newLeaderThatKnowsFewHostsDoesNotRaiseTheShares() {
		start(0, 128);
		List<HostRecord> all = list(0, 128);
		List<HostRecord> few = list(0, 20);
		play(READY_MS + 1_000, () -> confirm(0, 128, all));
		play(ColdShares.MAX_LIST_AGE_MS / 2, () -> {
		});
		play(1_500, () -> confirm(0, 128, few));
		play(2_000, () -> confirm(0, 128, all));
		assertBound(BUDGET.requests());
	}

	// After a loss of power no host knows the others, and the list of the leader grows.
	@Test
	void hostsThatJoinHaveNoShareUntilTheOthersCountThem() {
		start(0, 128);
		List<List<HostRecord>> growing = IntStream.rangeClosed(0, 127).mapToObj((last) -> list(0, last + 1)).toList();
		play(6_000, () -> {
			int known = (int) Math.min(127, this.nowMs / STEP_MS);
			confirm(0, known + 1, growing.get(known));
		});
		assertBound(BOUND);
		assertThat(meanPerS(5_000)).isGreaterThan(12);
	}

	@Test
	void requestsThatWaitedForAConnectionAreNotSentTogether() {
		start(0, 1);
		List<HostRecord> all = list(0, 1);
		play(READY_MS + 2_000, () -> confirm(0, 1, all));
		ColdShares shares = this.hosts.get(id(0));
		long sent = IntStream.range(0, 100).filter((index) -> shares.trySend("i-0", BUDGET, 0, this.nowMs)).count();
		assertThat(sent).isZero();
		sent = IntStream.range(0, 100).filter((index) -> shares.trySend("i-0", BUDGET, 0, this.nowMs + 1_200)).count();
		assertThat(sent).isEqualTo(17);
	}

}
