package io.fescuehold.it.harness;

import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.function.Predicate;

/**
 * Polls until a condition holds or a deadline passes.
 */
public final class Eventually {

	private static final long POLL_INTERVAL_MS = 50;

	private Eventually() {
	}

	/**
	 * Waits until a condition holds. A condition that throws counts as not met.
	 * @param description the description of the condition in the failure message
	 * @param timeout the longest time to wait
	 * @param condition the condition
	 */
	public static void isTrue(String description, Duration timeout, Callable<Boolean> condition) {
		get(description, timeout, condition, Boolean.TRUE::equals);
	}

	/**
	 * Waits for a value that meets a condition. A supplier that throws is called again.
	 * @param <T> the type of the value
	 * @param description the description of the condition in the failure message
	 * @param timeout the longest time to wait
	 * @param supplier the supplier of the value
	 * @param condition the condition
	 * @return the value
	 * @throws AssertionError if the deadline passes; its message contains the last value
	 * or exception
	 */
	public static <T> T get(String description, Duration timeout, Callable<T> supplier, Predicate<T> condition) {
		long deadlineNanos = System.nanoTime() + timeout.toNanos();
		Object last;
		Exception cause;
		do {
			try {
				T value = supplier.call();
				if (condition.test(value)) {
					return value;
				}
				last = value;
				cause = null;
			}
			catch (Exception ex) {
				last = ex;
				cause = ex;
			}
			sleep();
		}
		while (System.nanoTime() < deadlineNanos);
		throw new AssertionError(description + ": not met within " + timeout.toMillis() + " ms; last seen: " + last,
				cause);
	}

	private static void sleep() {
		try {
			Thread.sleep(POLL_INTERVAL_MS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("The wait was interrupted", ex);
		}
	}

}
