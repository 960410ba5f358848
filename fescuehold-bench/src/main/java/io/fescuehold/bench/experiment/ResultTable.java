package io.fescuehold.bench.experiment;

import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;

/**
 * Formats results as rows of a Markdown table. A cell lists the values of all seeds.
 */
final class ResultTable {

	static final String HEADER = "| policy | from cache % (imported) | skew p99 | skew worst | above bound %"
			+ " | mean load tokens | decision ns median / p99 | bytes per chat | unplaced |\n"
			+ "|---|---|---|---|---|---|---|---|---|";

	private static final double PERCENT = 100;

	private ResultTable() {
	}

	static String row(List<RunResult> runs) {
		return "| " + runs.getFirst().options().policy().optionName() + " | "
				+ cell(runs, "%.1f", (run) -> PERCENT * run.reuse()) + " ("
				+ cell(runs, "%.1f", (run) -> PERCENT * run.importedFraction()) + ") | "
				+ cell(runs, "%.2f", RunResult::p99Skew) + " | " + cell(runs, "%.2f", RunResult::maxSkew) + " | "
				+ cell(runs, "%.2f", (run) -> PERCENT * run.aboveBoundFraction()) + " | "
				+ cell(runs, "%.0f", RunResult::meanLoadTokens) + " | "
				+ cell(runs, "%.0f", RunResult::decisionMedianNs) + " / " + cell(runs, "%.0f", RunResult::decisionP99Ns)
				+ " | " + cell(runs, "%.0f", RunResult::bytesPerChat) + " | " + cell(runs, "%.0f", RunResult::unplaced)
				+ " |";
	}

	private static String cell(List<RunResult> runs, String pattern, ToDoubleFunction<RunResult> metric) {
		return runs.stream()
			.map((run) -> String.format(Locale.ROOT, pattern, metric.applyAsDouble(run)))
			.collect(Collectors.joining(", "));
	}

}
