package io.fescuehold.core.retry;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import io.fescuehold.core.membership.HostRecord;
import io.fescuehold.core.membership.HostState;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a fleet that sends more repeats than its budget while hosts are
 * restarted, killed, added, cut off or frozen (BUDGET). The limit counts the repeats of
 * all processes that ran in the interval.
 */
class RetryBudgetPropertyTests {

	private static final int WINDOW_MS = 10_000;

	private static final int STEP_MS = 50;

	private static final int LENGTH_MS = 90_000;

	private static final double RATIO = 0.2;

	private static final double EXTRA_REPEATS = 58;

	private static final int LIST_LAG_MS = 1_000;

	private static final int REPORT_TIMEOUT_MS = 3_000;

	private final List<Host> hosts = new ArrayList<>();

	private final int[] requests = new int[LENGTH_MS / STEP_MS];

	private final int[] repeats = new int[LENGTH_MS / STEP_MS];

	private final List<List<HostRecord>> lists = new ArrayList<>();

	private SplittableRandom random;

	private int denied;

	static List<Long> seeds() {
		return new SplittableRandom(41).longs(200).boxed().toList();
	}

	@ParameterizedTest
	@MethodSource("seeds")
	void fleetKeepsTheBudgetWhateverHappensToItsProcesses(long seed) {
		this.random = new SplittableRandom(seed);
		int first = 2 + this.random.nextInt(9);
		for (int number = 0; number < first; number++) {
			this.hosts.add(new Host(number, 0, true));
		}
		for (int nowMs = 0; nowMs < LENGTH_MS; nowMs += STEP_MS) {
			disturb(nowMs);
			publish(nowMs);
			serve(nowMs);
			check(nowMs);
		}
		assertThat(this.denied).isPositive();
	}

	// Whole fleets are restarted in turn or at once, as well as single hosts.
	private void disturb(int nowMs) {
		if (this.random.nextInt(LENGTH_MS / STEP_MS) < 6) {
			int gapMs = this.random.nextInt(3) * 500;
			for (int index = 0; index < this.hosts.size(); index++) {
				this.hosts.get(index).stopAtMs = nowMs + index * gapMs;
			}
		}
		if (this.random.nextInt(LENGTH_MS / STEP_MS) < 6) {
			Host host = this.hosts.get(this.random.nextInt(this.hosts.size()));
			switch (this.random.nextInt(3)) {
				case 0 -> host.stopAtMs = nowMs;
				case 1 -> host.cutUntilMs = nowMs + this.random.nextInt(30_000);
				default -> host.frozenUntilMs = nowMs + this.random.nextInt(15_000);
			}
		}
		if (this.random.nextInt(LENGTH_MS / STEP_MS) < 2) {
			int added = 1 + this.random.nextInt(2 * this.hosts.size());
			for (int index = 0; index < added; index++) {
				this.hosts.add(new Host(this.hosts.size(), nowMs, false));
			}
		}
		for (Host host : this.hosts) {
			if (host.stopAtMs <= nowMs) {
				host.stopAtMs = Integer.MAX_VALUE;
				host.downUntilMs = nowMs + this.random.nextInt(3_000);
				host.start(host.downUntilMs, false);
			}
		}
	}

	// The list of the leader names the hosts that have reported lately.
	private void publish(int nowMs) {
		List<HostRecord> live = new ArrayList<>();
		for (Host host : this.hosts) {
			if (host.downUntilMs <= nowMs && host.cutUntilMs <= nowMs && host.frozenUntilMs <= nowMs) {
				host.reportedAtMs = nowMs;
			}
			if (nowMs - host.reportedAtMs < REPORT_TIMEOUT_MS) {
				HostState state = (host.downUntilMs + 1_000 > nowMs) ? HostState.STARTING : HostState.READY;
				live.add(new HostRecord("host-" + host.number, "a", 1, null, state));
			}
		}
		this.lists.add(live);
	}

	// Callers move between hosts, and phases of trouble use every repeat at once.
	private void serve(int nowMs) {
		boolean trouble = (nowMs / 7_000) % 3 != 0;
		int favourite = (nowMs / 4_000) % this.hosts.size();
		for (int request = 0; request < 2; request++) {
			Host host = this.hosts.get(this.random.nextBoolean() ? favourite : this.random.nextInt(this.hosts.size()));
			if (host.downUntilMs > nowMs || host.frozenUntilMs > nowMs) {
				continue;
			}
			host.updateShare(nowMs);
			host.budget.recordRequest("s", nowMs);
			this.requests[nowMs / STEP_MS]++;
			while (trouble && host.budget.tryRetry("s", nowMs)) {
				this.repeats[nowMs / STEP_MS]++;
			}
			this.denied += trouble ? 1 : 0;
		}
	}

	private void check(int nowMs) {
		int window = WINDOW_MS / STEP_MS;
		int end = nowMs / STEP_MS + 1;
		int most = Math.max(sum(this.requests, end - window, end),
				Math.max(sum(this.requests, end - 2 * window, end - window),
						sum(this.requests, end - window - window / 2, end - window / 2)));
		assertThat((double) sum(this.repeats, end - window, end)).as("repeats in the 10 s until %d ms", nowMs)
			.isLessThanOrEqualTo(RATIO * most + EXTRA_REPEATS);
	}

	private static int sum(int[] counts, int from, int to) {
		int sum = 0;
		for (int index = Math.max(0, from); index < to; index++) {
			sum += counts[index];
		}
		return sum;
	}

	private final class Host {

		private final int number;

		private int stopAtMs = Integer.MAX_VALUE;

		private int downUntilMs;

		private int cutUntilMs;

		private int frozenUntilMs;

		private int reportedAtMs = -REPORT_TIMEOUT_MS;

		private WindowedRetryBudget budget;

		private RetryShare share;

		private List<HostRecord> listed;

		private int listedAtMs;

		Host(int number, int nowMs, boolean firstStart) {
			this.number = number;
			start(nowMs, firstStart);
		}

		private void start(int nowMs, boolean firstStart) {
			this.budget = new WindowedRetryBudget(RATIO, EXTRA_REPEATS, WINDOW_MS);
			this.share = new RetryShare(WINDOW_MS, firstStart, nowMs);
			this.listed = List.of();
			this.listedAtMs = -WINDOW_MS;
		}

		private void updateShare(int nowMs) {
			int published = Math.max(0, nowMs - RetryBudgetPropertyTests.this.random.nextInt(LIST_LAG_MS)) / STEP_MS;
			if (this.cutUntilMs <= nowMs && published * STEP_MS > this.listedAtMs) {
				List<HostRecord> newest = RetryBudgetPropertyTests.this.lists.get(published);
				this.listed = newest.equals(this.listed) ? this.listed : newest;
				this.listedAtMs = published * STEP_MS;
			}
			this.budget.setShare(this.share.fraction(this.listed, nowMs - this.listedAtMs, nowMs), nowMs);
		}

	}

}
