package io.fescuehold.core.retry;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Limits the repeated requests to each service. In every interval of the length of the
 * window the processes of the fleet together send no more repeats than the configured
 * ratio of the requests plus the configured extra number, whenever processes start, stop
 * or are killed, and however callers move between hosts.
 * <p>
 * Each process holds a number of repeats for each service that it has earned: a fixed
 * part for each request, and a fixed part of its share of the extra repeats as time goes
 * by. What it may hold is bounded by what it may earn in a window. A repeat in an
 * interval was therefore either earned in that interval or held at its beginning, and
 * both together stay below the limit. A new process holds nothing and has no share at
 * first (see {@link RetryShare}), so that processes need neither store nor exchange what
 * they have sent. Not thread-safe.
 */
public final class WindowedRetryBudget {

	/**
	 * The part of the configured limits that is used; the rest covers host lists that
	 * differ between hosts.
	 */
	static final double SAFETY_FACTOR = 0.8;

	/** The part of the limit that is earned in a window; the rest may be held. */
	private static final double EARNED_PART = 0.5;

	private static final int SLICES = 20;

	private static final long ALWAYS = Long.MIN_VALUE / 2;

	private final double earnedPerRequest;

	private final double heldPerRequest;

	/** The extra repeats that the whole fleet earns in each window. */
	private final double earnedExtra;

	private final double heldExtra;

	private final long windowMs;

	private final long sliceMs;

	private final Map<String, Account> accounts = new HashMap<>();

	private double share;

	/** When a share that was lost came back; nothing is earned for the time before. */
	private long sharesSinceMs = ALWAYS;

	/**
	 * Creates a budget.
	 * @param ratio the number of repeats allowed per request
	 * @param extraRepeats the number of additional repeats allowed to the whole fleet in
	 * each window
	 * @param windowMs the length of the window in milliseconds
	 */
	public WindowedRetryBudget(double ratio, double extraRepeats, long windowMs) {
		this.earnedPerRequest = SAFETY_FACTOR * EARNED_PART * ratio;
		this.heldPerRequest = SAFETY_FACTOR * (1 - EARNED_PART) * ratio;
		this.earnedExtra = SAFETY_FACTOR * EARNED_PART * extraRepeats;
		this.heldExtra = SAFETY_FACTOR * (1 - EARNED_PART) * extraRepeats;
		this.windowMs = windowMs;
		this.sliceMs = Math.max(1, windowMs / SLICES);
	}

	/**
	 * Sets the share of the process in the extra repeats, initially none.
	 * @param newShare the share, from 0 to 1
	 * @param nowMs the time in milliseconds
	 */
	public void setShare(double newShare, long nowMs) {
		if (newShare == this.share) {
			return;
		}
		this.accounts.values().forEach((account) -> account.advance(nowMs));
		if (newShare == 0) {
			this.sharesSinceMs = Long.MAX_VALUE;
		}
		else if (this.share == 0 && this.sharesSinceMs != ALWAYS) {
			this.sharesSinceMs = nowMs;
		}
		this.share = newShare;
	}

	/**
	 * Counts a first attempt.
	 * @param service the service
	 * @param nowMs the time in milliseconds
	 */
	public void recordRequest(String service, long nowMs) {
		Account account = account(service, nowMs);
		account.requests[slot(nowMs)]++;
		account.held += this.earnedPerRequest;
	}

	/**
	 * Takes a repeat from the budget, if one is left.
	 * @param service the service
	 * @param nowMs the time in milliseconds
	 * @return whether the request may be repeated
	 */
	public boolean tryRetry(String service, long nowMs) {
		Account account = account(service, nowMs);
		if (account.held < 1) {
			return false;
		}
		account.held--;
		return true;
	}

	/**
	 * Returns the state of the budget of a service.
	 * @param service the service
	 * @param nowMs the time in milliseconds
	 * @return the state
	 */
	public Usage usage(String service, long nowMs) {
		Account account = account(service, nowMs);
		return new Usage(account.requestCount(), account.held, account.mostHeld(), this.share);
	}

	/**
	 * Returns the services for which requests or repeats were counted or looked up.
	 * @return the names of the services
	 */
	public Set<String> services() {
		return Set.copyOf(this.accounts.keySet());
	}

	private Account account(String service, long nowMs) {
		Account account = this.accounts.computeIfAbsent(service, (name) -> new Account());
		account.advance(nowMs);
		return account;
	}

	private int slot(long nowMs) {
		return (int) Math.floorMod(Math.floorDiv(nowMs, this.sliceMs), (long) SLICES);
	}

	/**
	 * The state of the budget of a service.
	 *
	 * @param requests the number of first attempts in the window that ends now
	 * @param held the number of repeats that may be sent now
	 * @param mostHeld the number of repeats that may be held
	 * @param share the share of the process in the extra repeats, from 0 to 1
	 */
	public record Usage(int requests, double held, double mostHeld, double share) {

	}

	private final class Account {

		private final int[] requests = new int[SLICES];

		private long slice = ALWAYS;

		private long advancedToMs = ALWAYS;

		private double held;

		private void advance(long nowMs) {
			WindowedRetryBudget budget = WindowedRetryBudget.this;
			long currentSlice = Math.floorDiv(nowMs, budget.sliceMs);
			for (long cleared = Math.max(this.slice + 1,
					currentSlice - SLICES + 1); cleared <= currentSlice; cleared++) {
				this.requests[(int) Math.floorMod(cleared, (long) SLICES)] = 0;
			}
			this.slice = Math.max(this.slice, currentSlice);
			long earningMs = nowMs - Math.max(this.advancedToMs, budget.sharesSinceMs);
			if (earningMs > 0) {
				this.held += budget.earnedExtra * budget.share * earningMs / budget.windowMs;
			}
			this.advancedToMs = Math.max(this.advancedToMs, nowMs);
			this.held = Math.min(this.held, mostHeld());
		}

		private double mostHeld() {
			WindowedRetryBudget budget = WindowedRetryBudget.this;
			return budget.heldPerRequest * requestCount() + budget.heldExtra * budget.share;
		}

		private int requestCount() {
			int sum = 0;
			for (int count : this.requests) {
				sum += count;
			}
			return sum;
		}

	}

}
