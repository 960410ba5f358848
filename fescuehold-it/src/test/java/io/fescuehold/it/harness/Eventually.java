package io.fescuehold.it.harness;

import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.function.Predicate;

/**
 * Polls until a condition holds or a deadline passes.
 */
public final class Eventually {

	private static final long PAUSE_MS = 50;

	private Eventually() {
	}

	/**
	 * Waits for a condition. A condition that throws counts as not met.
	 * @param what names the condition in the failure message
	 * @param limit the time to wait at most
	 * @param condition the condition
	 */
	public static void isTrue(String what, Duration limit, Callable<Boolean> condition) {
		get(what, limit, condition, Boolean.TRUE::equals);
	}

	/**
	 * Waits for a value that meets a condition. A supplier that throws is asked again.
	 * @param <T> the type of the value
	 * @param what names the condition in the failure message
	 * @param limit the time to wait at most
	 * @param supplier gives the value
	 * @param condition the condition
	 * @return the value
	 * @throws AssertionError if the deadline passes; states the last value or failure
	 */
	public static <T> T get(String what, Duration limit, Callable<T> supplier, Predicate<T> condition) {
		long deadlineNanos = System.nanoTime() + limit.toNanos();
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
			pause();
		}
		while (System.nanoTime() < deadlineNanos);
		throw new AssertionError(what + " did not hold within " + limit.toMillis() + " ms; last seen: " + last, cause);
	}

	private static void pause() {
		try {
			Thread.sleep(PAUSE_MS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("The wait was interrupted", ex);
		}
	}

}
