package io.fescuehold.bench.capacity;

import java.util.function.Supplier;

/**
 * Measures heap and processor time.
 */
final class Meter {

	private static final int COLLECTIONS = 4;

	private static final int WARM_UP_ROUNDS = 3;

	private static final int ROUNDS = 5;

	private static final double NS_PER_US = 1_000;

	private static Object kept;

	private Meter() {
	}

	/**
	 * Measures the heap that an object keeps.
	 * @param factory creates the object
	 * @return the heap in bytes
	 */
	static double heapBytes(Supplier<?> factory) {
		kept = null;
		long before = usedBytes();
		kept = factory.get();
		long after = usedBytes();
		kept = null;
		return after - before;
	}

	private static long usedBytes() {
		Runtime runtime = Runtime.getRuntime();
		for (int i = 0; i < COLLECTIONS; i++) {
			System.gc();
		}
		return runtime.totalMemory() - runtime.freeMemory();
	}

	/**
	 * Measures the time of a task after a warm-up.
	 * @param repetitions how often the task runs in one round
	 * @param task the task
	 * @return the smallest mean of all rounds in microseconds
	 */
	static double timeUs(int repetitions, Runnable task) {
		double best = Double.POSITIVE_INFINITY;
		for (int round = 0; round < WARM_UP_ROUNDS + ROUNDS; round++) {
			long startNs = System.nanoTime();
			for (int i = 0; i < repetitions; i++) {
				task.run();
			}
			double us = (System.nanoTime() - startNs) / NS_PER_US / repetitions;
			best = (round >= WARM_UP_ROUNDS) ? Math.min(best, us) : best;
		}
		return best;
	}

}
