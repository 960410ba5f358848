package io.fescuehold.bench.load;

import java.util.Map;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;

/**
 * The times and outcomes of a run. Times are counted from the intended start of a
 * request, so that a slow server does not hide the requests that waited for it.
 */
final class LoadResult {

	private static final long MAX_US = 600_000_000;

	private static final int DIGITS = 3;

	private static final double US_PER_MS = 1_000;

	private static final double MEDIAN = 50;

	private static final double P95 = 95;

	private static final double P99 = 99;

	private final Histogram firstPieceUs = new Histogram(MAX_US, DIGITS);

	private final Histogram gapUs = new Histogram(MAX_US, DIGITS);

	private final Histogram totalUs = new Histogram(MAX_US, DIGITS);

	private final Map<String, Integer> failures = new TreeMap<>();

	private long pieces;

	/**
	 * Notes the first piece of an answer.
	 * @param us the time since the intended start in microseconds
	 */
	synchronized void firstPiece(long us) {
		this.firstPieceUs.recordValue(us);
		this.pieces++;
	}

	/**
	 * Notes a further piece.
	 * @param us the time since the piece before in microseconds
	 */
	synchronized void nextPiece(long us) {
		this.gapUs.recordValue(us);
		this.pieces++;
	}

	/**
	 * Notes the end of an answer.
	 * @param us the time since the intended start in microseconds
	 */
	synchronized void finished(long us) {
		this.totalUs.recordValue(us);
	}

	/**
	 * Notes a failure.
	 * @param code the code
	 */
	synchronized void failed(String code) {
		this.failures.merge(code, 1, Integer::sum);
	}

	/**
	 * Prints a Markdown table.
	 * @param seconds the length of the run
	 */
	synchronized void print(int seconds) {
		System.out.println("| quantity | median | p95 | p99 | worst |");
		System.out.println("|---|---|---|---|---|");
		row("first token, ms", this.firstPieceUs);
		row("between tokens, ms", this.gapUs);
		row("whole answer, ms", this.totalUs);
		System.out.printf("%nanswers %d, failures %s, pieces %.0f/s%n", this.totalUs.getTotalCount(), this.failures,
				(double) this.pieces / seconds);
	}

	private static void row(String name, Histogram histogram) {
		System.out.printf("| %s | %.2f | %.2f | %.2f | %.2f |%n", name,
				histogram.getValueAtPercentile(MEDIAN) / US_PER_MS, histogram.getValueAtPercentile(P95) / US_PER_MS,
				histogram.getValueAtPercentile(P99) / US_PER_MS, histogram.getMaxValue() / US_PER_MS);
	}

}
