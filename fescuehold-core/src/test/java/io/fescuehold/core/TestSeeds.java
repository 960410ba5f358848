package io.fescuehold.core;

import java.util.stream.LongStream;

/**
 * Seeds of randomized tests. They are the same in each run, so that a failure repeats.
 */
public final class TestSeeds {

	private static final int COUNT = 1_000;

	private TestSeeds() {
	}

	/**
	 * Returns many seeds, with the ends of the range among them.
	 * @return the seeds
	 */
	public static LongStream many() {
		return LongStream.concat(LongStream.of(Long.MIN_VALUE, -1, Long.MAX_VALUE), LongStream.range(0, COUNT));
	}

}
