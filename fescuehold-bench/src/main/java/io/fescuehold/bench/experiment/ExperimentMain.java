package io.fescuehold.bench.experiment;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import io.fescuehold.bench.CommandArguments;
import io.fescuehold.bench.experiment.baseline.PolicyKind;
import io.fescuehold.core.placement.PlacementTuning;
import org.kohsuke.args4j.Option;

/**
 * Runs the placement experiment and prints a table in Markdown.
 */
public final class ExperimentMain {

	private static final double PERCENT = 100;

	@Option(name = "--deployment", usage = "tarawera, fiji or large")
	private String deployment = "tarawera";

	@Option(name = "--seeds", usage = "seeds, separated by commas")
	private String seeds = "1,2,3";

	@Option(name = "--policy", usage = "policies, separated by commas, or all")
	private String policy = "all";

	@Option(name = "--seconds", usage = "virtual time of a run; the first half is not measured")
	private int seconds = 240;

	@Option(name = "--report-lag-ms", usage = "age of the oldest load report that routers act on")
	private int reportLagMs = 3_000;

	@Option(name = "--churn", usage = "servers join, leave, crash and flap")
	private boolean churn;

	@Option(name = "--no-imports", usage = "KV caches cannot be imported")
	private boolean noImports;

	@Option(name = "--granularity", usage = "factor by which requests are smaller and more frequent")
	private double granularity = 1;

	@Option(name = "--tuning", usage = "turnoverMs,reportGain,ownGain,stayLow,stayHigh of the router's policy")
	private String tuning;

	@Option(name = "--output", usage = "folder for the table and the plot")
	private Path output;

	private ExperimentMain() {
	}

	/**
	 * Runs the experiment.
	 * @param arguments the command line
	 * @throws IOException if the output cannot be written
	 */
	public static void main(String[] arguments) throws IOException {
		ExperimentMain main = new ExperimentMain();
		CommandArguments.parse(main, arguments);
		main.run(System.out);
	}

	private void run(PrintStream out) throws IOException {
		List<List<RunResult>> results = new ArrayList<>();
		out.println(ResultTable.HEADER);
		for (PolicyKind kind : policies()) {
			List<RunResult> runs = new ArrayList<>();
			for (String seed : this.seeds.split(",")) {
				RunResult result = new PlacementSimulation(
						new RunOptions(Deployment.of(this.deployment), kind, Long.parseLong(seed), this.seconds,
								this.reportLagMs, this.churn, !this.noImports, this.granularity, tuning()))
					.run();
				runs.add(result);
			}
			results.add(runs);
			out.println(ResultTable.row(runs));
		}
		if (this.output != null) {
			write(results);
		}
	}

	private List<PolicyKind> policies() {
		if (this.policy.equals("all")) {
			return List.of(PolicyKind.values());
		}
		List<PolicyKind> kinds = new ArrayList<>();
		for (String name : this.policy.split(",")) {
			kinds.add(PolicyKind.of(name));
		}
		return kinds;
	}

	private PlacementTuning tuning() {
		return (this.tuning != null) ? PlacementTuning.parse(this.tuning) : PlacementTuning.DEFAULT;
	}

	private void write(List<List<RunResult>> results) throws IOException {
		Files.createDirectories(this.output);
		String name = "placement-" + this.deployment + (this.churn ? "-churn" : "");
		StringBuilder table = new StringBuilder(ResultTable.HEADER).append('\n');
		results.forEach((runs) -> table.append(ResultTable.row(runs)).append('\n'));
		Files.writeString(this.output.resolve(name + ".md"), table, StandardCharsets.UTF_8);
		SvgPlot plot = new SvgPlot("Cache reuse and skew, " + this.deployment + (this.churn ? ", churn" : ""),
				"99th percentile of load over mean", "prompt tokens from cache, %");
		for (List<RunResult> runs : results) {
			runs.forEach(
					(run) -> plot.point(run.options().policy().optionName(), run.p99Skew(), PERCENT * run.reuse()));
		}
		Files.writeString(this.output.resolve(name + ".svg"), plot.svg(), StandardCharsets.UTF_8);
	}

}
