package io.fescuehold.bench.experiment;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

import io.fescuehold.bench.CommandArguments;
import io.fescuehold.config.TeamSpec;
import io.fescuehold.core.limits.Admission;
import io.fescuehold.core.limits.FairAdmission;
import io.fescuehold.core.limits.PoolPressure;
import io.fescuehold.core.limits.Priority;
import org.kohsuke.args4j.Option;

/**
 * Measures the admission of teams while one of them sends ten times its usual traffic
 * through all routers. The pool is a backlog that drains at a fixed rate; routers see it
 * with a lag. Refused requests return at their retry time.
 */
public final class LimitsExperiment {

	private static final int TEAMS = 10;

	private static final long STEP_MS = 20;

	private static final double REQUEST_TOKENS = 600;

	private static final double TOKENS_PER_SERVER = 4_000;

	private static final double CONGESTION_TOKENS = 20_000;

	private static final double USUAL_UTILISATION = 0.7;

	private static final double SURGE = 10;

	private static final int REPORT_LAG_MS = 3_000;

	private static final double MS_PER_S = 1_000;

	private static final double PERCENT = 100;

	private static final int MAX_RETURNS = 3;

	@Option(name = "--routers", usage = "number of routers")
	private int routers = 7;

	@Option(name = "--servers", usage = "number of servers")
	private int servers = 12;

	@Option(name = "--seeds", usage = "seeds, separated by commas")
	private String seeds = "1,2,3";

	@Option(name = "--seconds", usage = "length of the surge; a tenth of it goes before")
	private int seconds = 120;

	private LimitsExperiment() {
	}

	/**
	 * Runs the experiment.
	 * @param arguments the command line
	 */
	public static void main(String[] arguments) {
		LimitsExperiment experiment = new LimitsExperiment();
		CommandArguments.parse(experiment, arguments);
		System.out
			.println("| seed | others refused % | worst other team refused % | surging team: portion of capacity %"
					+ " | surging team: first tries refused % | pool over limit, mean | returns per s, max / mean |");
		System.out.println("|---|---|---|---|---|---|---|");
		for (String seed : experiment.seeds.split(",")) {
			System.out.println(experiment.new Run(Long.parseLong(seed)).row());
		}
	}

	private static double percent(long part, long whole) {
		return PERCENT * part / Math.max(1, whole);
	}

	private record Return(long atMs, int team, int router, int returns) {

	}

	/**
	 * One run.
	 */
	private final class Run {

		private final SplittableRandom random;

		private final List<FairAdmission> admissions = new ArrayList<>();

		private final PriorityQueue<Return> returns = new PriorityQueue<>(Comparator.comparingLong(Return::atMs));

		private final long[] offered = new long[TEAMS];

		private final long[] refused = new long[TEAMS];

		private final double[] backlogs;

		private final int[] returnsPerS;

		private final long seed;

		private double backlog;

		private double surgingTokens;

		private double pressureSum;

		private long pressureSamples;

		private Run(long seed) {
			this.seed = seed;
			this.random = new SplittableRandom(seed);
			for (int router = 0; router < LimitsExperiment.this.routers; router++) {
				this.admissions.add(new FairAdmission(() -> LimitsExperiment.this.routers, seed * 1_000 + router));
			}
			int steps = (int) (LimitsExperiment.this.seconds * MS_PER_S * 1.1 / STEP_MS) + 1;
			this.backlogs = new double[steps];
			this.returnsPerS = new int[(int) (LimitsExperiment.this.seconds * 1.1) + 2];
		}

		private String row() {
			double capacity = LimitsExperiment.this.servers * TOKENS_PER_SERVER;
			long surgeFromMs = (long) (LimitsExperiment.this.seconds * MS_PER_S / 10);
			for (int step = 0; step < this.backlogs.length; step++) {
				long nowMs = step * STEP_MS;
				this.backlog = Math.max(0, this.backlog - capacity * STEP_MS / MS_PER_S);
				this.backlogs[step] = this.backlog;
				boolean isSurge = nowMs >= surgeFromMs;
				PoolPressure pressure = pressure(step, capacity);
				for (int team = 0; team < TEAMS; team++) {
					arrivals(team, isSurge, capacity, pressure, nowMs);
				}
				while (!this.returns.isEmpty() && this.returns.peek().atMs <= nowMs) {
					Return back = this.returns.poll();
					this.returnsPerS[(int) (nowMs / MS_PER_S)]++;
					offer(back.team, back.router, back.returns, isSurge, pressure, nowMs);
				}
				if (isSurge) {
					this.pressureSum += this.backlog / LimitsExperiment.this.servers / CONGESTION_TOKENS;
					this.pressureSamples++;
				}
			}
			return format(capacity);
		}

		private PoolPressure pressure(int step, double capacity) {
			int seen = Math.max(0, step - (int) (REPORT_LAG_MS / STEP_MS));
			return new PoolPressure(this.backlogs[seen] / LimitsExperiment.this.servers, CONGESTION_TOKENS, capacity);
		}

		private void arrivals(int team, boolean isSurge, double capacity, PoolPressure pressure, long nowMs) {
			// Team 0 is the large one with a quarter of the traffic.
			double portion = (team == 0) ? 0.25 : 0.75 / (TEAMS - 1);
			double factor = (team == 0 && isSurge) ? SURGE : 1;
			double mean = factor * portion * USUAL_UTILISATION * capacity / REQUEST_TOKENS * STEP_MS / MS_PER_S;
			double draw = -Math.log(1 - this.random.nextDouble());
			while (draw < mean) {
				int router = this.random.nextInt(LimitsExperiment.this.routers);
				if (isSurge) {
					this.offered[team]++;
				}
				offer(team, router, 0, isSurge, pressure, nowMs);
				draw -= Math.log(1 - this.random.nextDouble());
			}
		}

		private void offer(int team, int router, int returned, boolean isSurge, PoolPressure pressure, long nowMs) {
			TeamSpec spec = new TeamSpec((team == 0) ? 3 : 1, 0);
			Admission decision = this.admissions.get(router)
				.admit("share", "model", "team" + team, spec, Priority.NORMAL, REQUEST_TOKENS, pressure, nowMs);
			if (decision instanceof Admission.Refused no) {
				if (isSurge && returned == 0) {
					this.refused[team]++;
				}
				if (returned < MAX_RETURNS) {
					this.returns.add(new Return(nowMs + no.retryAfterMs(), team, router, returned + 1));
				}
				return;
			}
			this.backlog += REQUEST_TOKENS;
			if (isSurge && team == 0) {
				this.surgingTokens += REQUEST_TOKENS;
			}
		}

		private String format(double capacity) {
			long offeredOthers = 0;
			long refusedOthers = 0;
			double worst = 0;
			for (int team = 1; team < TEAMS; team++) {
				offeredOthers += this.offered[team];
				refusedOthers += this.refused[team];
				worst = Math.max(worst, percent(this.refused[team], this.offered[team]));
			}
			int max = 0;
			long total = 0;
			for (int count : this.returnsPerS) {
				max = Math.max(max, count);
				total += count;
			}
			return String.format(Locale.ROOT, "| %d | %.2f | %.2f | %.1f | %.1f | %.2f | %d / %.0f |", this.seed,
					percent(refusedOthers, offeredOthers), worst,
					PERCENT * this.surgingTokens / (capacity * LimitsExperiment.this.seconds),
					percent(this.refused[0], this.offered[0]), this.pressureSum / this.pressureSamples, max,
					(double) total / LimitsExperiment.this.seconds);
		}

	}

}
