package io.fescuehold.bench.capacity;

import java.util.function.Supplier;

/**
 * Measures retained heap and execution time.
 */
final class Meter {

	private static final int GC_RUNS = 4;

	private static final int WARM_UP_ROUNDS = 3;

	private static final int MEASURED_ROUNDS = 5;

	private static final double NS_PER_US = 1_000;

	private static Object retained;

	private Meter() {
	}

	/**
	 * Measures the heap that an object retains.
	 * @param factory creates the object
	 * @return the heap in bytes
	 */
	static double heapBytes(Supplier<?> factory) {
		retained = null;
		long before = usedBytes();
		retained = factory.get();
		long after = usedBytes();
		retained = null;
		return after - before;
	}

	private static long usedBytes() {
		Runtime runtime = Runtime.getRuntime();
		for (int i = 0; i < GC_RUNS; i++) {
			System.gc();
		}
		return runtime.totalMemory() - runtime.freeMemory();
	}

	/**
	 * Measures the execution time of a task after warm-up rounds.
	 * @param repetitions the number of executions per round
	 * @param task the task
	 * @return the lowest mean time per execution of all measured rounds, in microseconds
	 */
	static double timeUs(int repetitions, Runnable task) {
		double best = Double.POSITIVE_INFINITY;
		for (int round = 0; round < WARM_UP_ROUNDS + MEASURED_ROUNDS; round++) {
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
