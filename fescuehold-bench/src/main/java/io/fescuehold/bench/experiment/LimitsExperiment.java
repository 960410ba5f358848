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
 * with a lag. Refused requests are retried after the time that the refusal states.
 */
public final class LimitsExperiment {

	private static final int TEAMS = 10;

	private static final long STEP_MS = 20;

	private static final double REQUEST_TOKENS = 600;

	private static final double TOKENS_PER_S_PER_SERVER = 4_000;

	private static final double CONGESTION_TOKENS = 20_000;

	private static final double NORMAL_UTILISATION = 0.7;

	private static final double SURGE_FACTOR = 10;

	private static final int REPORT_LAG_MS = 3_000;

	private static final double MS_PER_S = 1_000;

	private static final double PERCENT = 100;

	private static final int MAX_RETRIES = 3;

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
					+ " | surging team: first tries refused % | pool over limit, mean | retries per s, max / mean |");
		System.out.println("|---|---|---|---|---|---|---|");
		for (String seed : experiment.seeds.split(",")) {
			System.out.println(experiment.new Run(Long.parseLong(seed)).row());
		}
	}

	private static double percent(long part, long whole) {
		return PERCENT * part / Math.max(1, whole);
	}

	private record Retry(long atMs, int team, int router, int retries) {

	}

	/**
	 * A run with one seed.
	 */
	private final class Run {

		private final SplittableRandom random;

		private final List<FairAdmission> admissions = new ArrayList<>();

		private final PriorityQueue<Retry> retries = new PriorityQueue<>(Comparator.comparingLong(Retry::atMs));

		private final long[] submitted = new long[TEAMS];

		private final long[] refused = new long[TEAMS];

		private final double[] backlogTokensByStep;

		private final int[] retriesPerS;

		private final long seed;

		private double backlogTokens;

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
			this.backlogTokensByStep = new double[steps];
			this.retriesPerS = new int[(int) (LimitsExperiment.this.seconds * 1.1) + 2];
		}

		private String row() {
			double capacityTokensPerS = LimitsExperiment.this.servers * TOKENS_PER_S_PER_SERVER;
			long surgeFromMs = (long) (LimitsExperiment.this.seconds * MS_PER_S / 10);
			for (int step = 0; step < this.backlogTokensByStep.length; step++) {
				long nowMs = step * STEP_MS;
				this.backlogTokens = Math.max(0, this.backlogTokens - capacityTokensPerS * STEP_MS / MS_PER_S);
				this.backlogTokensByStep[step] = this.backlogTokens;
				boolean isSurge = nowMs >= surgeFromMs;
				PoolPressure pressure = pressure(step, capacityTokensPerS);
				for (int team = 0; team < TEAMS; team++) {
					generateArrivals(team, isSurge, capacityTokensPerS, pressure, nowMs);
				}
				while (!this.retries.isEmpty() && this.retries.peek().atMs <= nowMs) {
					Retry retry = this.retries.poll();
					this.retriesPerS[(int) (nowMs / MS_PER_S)]++;
					submit(retry.team, retry.router, retry.retries, isSurge, pressure, nowMs);
				}
				if (isSurge) {
					this.pressureSum += this.backlogTokens / LimitsExperiment.this.servers / CONGESTION_TOKENS;
					this.pressureSamples++;
				}
			}
			return format(capacityTokensPerS);
		}

		private PoolPressure pressure(int step, double capacityTokensPerS) {
			int visibleStep = Math.max(0, step - (int) (REPORT_LAG_MS / STEP_MS));
			return new PoolPressure(this.backlogTokensByStep[visibleStep] / LimitsExperiment.this.servers,
					CONGESTION_TOKENS, capacityTokensPerS);
		}

		private void generateArrivals(int team, boolean isSurge, double capacityTokensPerS, PoolPressure pressure,
				long nowMs) {
			// Team 0, which surges, usually sends a quarter of the traffic.
			double trafficFraction = (team == 0) ? 0.25 : 0.75 / (TEAMS - 1);
			double factor = (team == 0 && isSurge) ? SURGE_FACTOR : 1;
			double meanRequests = factor * trafficFraction * NORMAL_UTILISATION * capacityTokensPerS / REQUEST_TOKENS
					* STEP_MS / MS_PER_S;
			double drawnRequests = -Math.log(1 - this.random.nextDouble());
			while (drawnRequests < meanRequests) {
				int router = this.random.nextInt(LimitsExperiment.this.routers);
				if (isSurge) {
					this.submitted[team]++;
				}
				submit(team, router, 0, isSurge, pressure, nowMs);
				drawnRequests -= Math.log(1 - this.random.nextDouble());
			}
		}

		private void submit(int team, int router, int retryNumber, boolean isSurge, PoolPressure pressure, long nowMs) {
			TeamSpec spec = new TeamSpec((team == 0) ? 3 : 1, 0);
			Admission decision = this.admissions.get(router)
				.admit("share", "model", "team" + team, spec, Priority.NORMAL, REQUEST_TOKENS, pressure, nowMs);
			if (decision instanceof Admission.Refused refusal) {
				if (isSurge && retryNumber == 0) {
					this.refused[team]++;
				}
				if (retryNumber < MAX_RETRIES) {
					this.retries.add(new Retry(nowMs + refusal.retryAfterMs(), team, router, retryNumber + 1));
				}
				return;
			}
			this.backlogTokens += REQUEST_TOKENS;
			if (isSurge && team == 0) {
				this.surgingTokens += REQUEST_TOKENS;
			}
		}

		private String format(double capacityTokensPerS) {
			long submittedOthers = 0;
			long refusedOthers = 0;
			double maxRefusedPercent = 0;
			for (int team = 1; team < TEAMS; team++) {
				submittedOthers += this.submitted[team];
				refusedOthers += this.refused[team];
				maxRefusedPercent = Math.max(maxRefusedPercent, percent(this.refused[team], this.submitted[team]));
			}
			int max = 0;
			long total = 0;
			for (int count : this.retriesPerS) {
				max = Math.max(max, count);
				total += count;
			}
			return String.format(Locale.ROOT, "| %d | %.2f | %.2f | %.1f | %.1f | %.2f | %d / %.0f |", this.seed,
					percent(refusedOthers, submittedOthers), maxRefusedPercent,
					PERCENT * this.surgingTokens / (capacityTokensPerS * LimitsExperiment.this.seconds),
					percent(this.refused[0], this.submitted[0]), this.pressureSum / this.pressureSamples, max,
					(double) total / LimitsExperiment.this.seconds);
		}

	}

}
