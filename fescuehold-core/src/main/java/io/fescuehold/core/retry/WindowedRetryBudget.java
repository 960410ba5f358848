package io.fescuehold.core.retry;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Limits the repeated requests to each service in a sliding window. The limit holds for
 * the whole fleet: a daemon allows the configured ratio of its own requests and its part
 * of the configured number of extra repeats, so that daemons need not communicate.
 */
public final class WindowedRetryBudget {

	/**
	 * The part of the configured limits that is used; the rest covers unequal daemons.
	 */
	static final double SAFETY_FACTOR = 0.8;

	private static final int SLICES = 20;

	private final double ratio;

	private final double extraRepeats;

	private final long sliceMs;

	private final Map<String, Window> windows = new HashMap<>();

	/**
	 * Creates a budget.
	 * @param ratio the number of repeats allowed per request
	 * @param extraRepeats the number of additional repeats allowed to the whole fleet in
	 * each window
	 * @param windowMs the length of the window in milliseconds
	 */
	public WindowedRetryBudget(double ratio, double extraRepeats, long windowMs) {
		this.ratio = ratio;
		this.extraRepeats = extraRepeats;
		this.sliceMs = Math.max(1, windowMs / SLICES);
	}

	/**
	 * Counts a first attempt.
	 * @param service the service
	 * @param nowMs the time in milliseconds
	 */
	public void recordRequest(String service, long nowMs) {
		window(service, nowMs).requests[slot(nowMs)]++;
	}

	/**
	 * Takes a repeat from the budget, if one is left.
	 * @param service the service
	 * @param daemons the number of daemons that share the budget
	 * @param nowMs the time in milliseconds
	 * @return whether the request may be repeated
	 */
	public boolean tryRetry(String service, int daemons, long nowMs) {
		Usage usage = usage(service, daemons, nowMs);
		if (usage.repeats() + 1 > usage.allowed()) {
			return false;
		}
		window(service, nowMs).repeats[slot(nowMs)]++;
		return true;
	}

	/**
	 * Returns the use of the budget of a service.
	 * @param service the service
	 * @param daemons the number of daemons that share the budget
	 * @param nowMs the time in milliseconds
	 * @return the use of the budget in the window that ends now
	 */
	public Usage usage(String service, int daemons, long nowMs) {
		Window window = window(service, nowMs);
		int requests = sum(window.requests);
		return new Usage(requests, sum(window.repeats),
				SAFETY_FACTOR * (this.ratio * requests + this.extraRepeats / Math.max(1, daemons)));
	}

	/**
	 * Returns the services for which requests or repeats were counted or looked up.
	 * @return the names of the services
	 */
	public Set<String> services() {
		return Set.copyOf(this.windows.keySet());
	}

	private Window window(String service, long nowMs) {
		Window window = this.windows.computeIfAbsent(service, (name) -> new Window());
		long slice = Math.floorDiv(nowMs, this.sliceMs);
		// The counts cover one slice more than the window, so that the limit holds for
		// every interval of the window's length, wherever it starts within a slice.
		long firstCleared = Math.max(window.slice + 1, slice - SLICES);
		for (long cleared = firstCleared; cleared <= slice; cleared++) {
			int slot = (int) Math.floorMod(cleared, (long) SLICES + 1);
			window.requests[slot] = 0;
			window.repeats[slot] = 0;
		}
		window.slice = Math.max(window.slice, slice);
		return window;
	}

	private int slot(long nowMs) {
		return (int) Math.floorMod(Math.floorDiv(nowMs, this.sliceMs), (long) SLICES + 1);
	}

	private static int sum(int[] counts) {
		int sum = 0;
		for (int count : counts) {
			sum += count;
		}
		return sum;
	}

	/**
	 * The use of the budget of a service in one window.
	 *
	 * @param requests the number of first attempts
	 * @param repeats the number of repeats
	 * @param allowed the number of repeats that are allowed
	 */
	public record Usage(int requests, int repeats, double allowed) {

	}

	private static final class Window {

		private final int[] requests = new int[SLICES + 1];

		private final int[] repeats = new int[SLICES + 1];

		private long slice = Long.MIN_VALUE / 2;

	}

}
