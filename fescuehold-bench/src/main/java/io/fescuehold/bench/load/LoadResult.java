package io.fescuehold.bench.load;

import java.util.Map;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;

/**
 * The latencies and outcomes of a run. Latencies count from the scheduled start of a
 * request rather than from the time it was sent, which avoids coordinated omission.
 */
final class LoadResult {

	private static final long MAX_LATENCY_US = 600_000_000;

	private static final int SIGNIFICANT_DIGITS = 3;

	private static final double US_PER_MS = 1_000;

	private static final double MEDIAN = 50;

	private static final double P95 = 95;

	private static final double P99 = 99;

	private final Histogram firstPieceUs = new Histogram(MAX_LATENCY_US, SIGNIFICANT_DIGITS);

	private final Histogram gapUs = new Histogram(MAX_LATENCY_US, SIGNIFICANT_DIGITS);

	private final Histogram totalUs = new Histogram(MAX_LATENCY_US, SIGNIFICANT_DIGITS);

	private final Map<String, Integer> failures = new TreeMap<>();

	private long pieces;

	/**
	 * Records the first piece of a response.
	 * @param us the time since the scheduled start in microseconds
	 */
	synchronized void recordFirstPiece(long us) {
		this.firstPieceUs.recordValue(us);
		this.pieces++;
	}

	/**
	 * Records a further piece of a response.
	 * @param us the time since the previous piece in microseconds
	 */
	synchronized void recordNextPiece(long us) {
		this.gapUs.recordValue(us);
		this.pieces++;
	}

	/**
	 * Records the end of a response.
	 * @param us the time since the scheduled start in microseconds
	 */
	synchronized void recordCompletion(long us) {
		this.totalUs.recordValue(us);
	}

	/**
	 * Records a failed request.
	 * @param code the error code
	 */
	synchronized void recordFailure(String code) {
		this.failures.merge(code, 1, Integer::sum);
	}

	/**
	 * Prints the latencies as a Markdown table, followed by the counts.
	 * @param seconds the duration of the run in seconds
	 */
	synchronized void print(int seconds) {
		System.out.println("| quantity | median | p95 | p99 | worst |");
		System.out.println("|---|---|---|---|---|");
		printRow("first token, ms", this.firstPieceUs);
		printRow("between tokens, ms", this.gapUs);
		printRow("whole answer, ms", this.totalUs);
		System.out.printf("%nanswers %d, failures %s, pieces %.0f/s%n", this.totalUs.getTotalCount(), this.failures,
				(double) this.pieces / seconds);
	}

	private static void printRow(String name, Histogram histogram) {
		System.out.printf("| %s | %.2f | %.2f | %.2f | %.2f |%n", name,
				histogram.getValueAtPercentile(MEDIAN) / US_PER_MS, histogram.getValueAtPercentile(P95) / US_PER_MS,
				histogram.getValueAtPercentile(P99) / US_PER_MS, histogram.getMaxValue() / US_PER_MS);
	}

}
