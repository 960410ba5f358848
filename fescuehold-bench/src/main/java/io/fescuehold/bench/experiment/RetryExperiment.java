package io.fescuehold.bench.experiment;

import java.util.Locale;
import java.util.SplittableRandom;

import io.fescuehold.bench.CommandArguments;
import io.fescuehold.core.retry.RetryBudget;
import org.kohsuke.args4j.Option;

/**
 * Measures the attempts per request while a third of the servers fails, with the retry
 * budget and with up to three retries without a budget. Servers are drawn at random, as
 * if no router learned which of them fail.
 */
public final class RetryExperiment {

	private static final int MAX_RETRIES_WITHOUT_BUDGET = 3;

	private static final double PERCENT = 100;

	@Option(name = "--routers", usage = "number of routers, each with its own budget")
	private int routers = 7;

	@Option(name = "--requests", usage = "requests per router")
	private int requests = 10_000;

	@Option(name = "--seeds", usage = "seeds, separated by commas")
	private String seeds = "1,2,3";

	private RetryExperiment() {
	}

	/**
	 * Runs the experiment.
	 * @param arguments the command line
	 */
	public static void main(String[] arguments) {
		RetryExperiment experiment = new RetryExperiment();
		CommandArguments.parse(experiment, arguments);
		System.out.println("| seed | failing servers | retries | attempts per request | failed requests % |");
		System.out.println("|---|---|---|---|---|");
		for (String seed : experiment.seeds.split(",")) {
			for (int failureDivisor : new int[] { 0, 3, 1 }) {
				System.out.println(experiment.run(Long.parseLong(seed), failureDivisor, true));
				System.out.println(experiment.run(Long.parseLong(seed), failureDivisor, false));
			}
		}
	}

	private String run(long seed, int failureDivisor, boolean withBudget) {
		SplittableRandom random = new SplittableRandom(seed);
		long attempts = 0;
		long failed = 0;
		for (int router = 0; router < this.routers; router++) {
			RetryBudget budget = new RetryBudget();
			for (int request = 0; request < this.requests; request++) {
				budget.request();
				attempts++;
				int retries = 0;
				boolean isFailed = fails(random, failureDivisor);
				while (isFailed && (withBudget ? budget.tryAcquire() : retries < MAX_RETRIES_WITHOUT_BUDGET)) {
					retries++;
					attempts++;
					isFailed = fails(random, failureDivisor);
				}
				failed += isFailed ? 1 : 0;
			}
		}
		long total = (long) this.routers * this.requests;
		String name = (failureDivisor == 0) ? "none" : (failureDivisor == 1) ? "all" : "a third";
		return String.format(Locale.ROOT, "| %d | %s | %s | %.4f | %.2f |", seed, name,
				withBudget ? "budget" : "up to 3", (double) attempts / total, PERCENT * failed / total);
	}

	// Fails one in failureDivisor attempts, or none if the divisor is 0.
	private static boolean fails(SplittableRandom random, int failureDivisor) {
		return failureDivisor > 0 && random.nextInt(failureDivisor) == 0;
	}

}
