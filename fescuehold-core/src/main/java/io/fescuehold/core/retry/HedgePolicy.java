package io.fescuehold.core.retry;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.HdrHistogram.IntCountsHistogram;

/**
 * Decides when a request that may be repeated is sent to a second server while the first
 * one still works on it. A second copy is due once the request has taken longer than
 * nearly all similar requests of late, and is only sent if it can still help: within the
 * operators' limit, while the service has room, and while second copies win often enough
 * to be worth their work.
 * <p>
 * The limit is a part of the requests of this host. Each host keeps to it by itself, so
 * that the fleet does too, whatever hosts start, stop or lose each other. Not
 * thread-safe: confined to one thread.
 */
public final class HedgePolicy {

	/** The time of a second copy is not known. */
	public static final long UNKNOWN_MS = -1;

	private static final double PERCENTILE = 95;

	private static final double MEDIAN = 50;

	/** A first copy that has had twice the median had a fair chance. */
	private static final int FAIR_CHANCE_FACTOR = 2;

	/** With fewer times the percentile is little more than the largest of them. */
	private static final int MIN_TIMES = 20;

	/** A shorter wait would be within the delays of this host's own event loop. */
	private static final long MIN_DELAY_MS = 5;

	private static final long MAX_TIME_MS = 60_000;

	private static final int PRECISION_DIGITS = 1;

	/** The interval after which times lose weight, and after twice of which they go. */
	private static final long RENEWAL_MS = 30_000;

	/** The copies that may be saved up, so that a pause does not allow a burst. */
	private static final double MAX_SAVED_COPIES = 2;

	/** A service with a larger part of its slots taken gets no extra work. */
	private static final double MAX_LOAD_RATIO = 0.7;

	/** The weight of the last copy in the part of copies that win. */
	private static final double WIN_WEIGHT = 0.1;

	private static final double MIN_WIN_RATIO = 0.25;

	/** The time after which a copy is tried again although copies did not win. */
	private static final long PAUSE_MS = 10_000;

	private final double ratio;

	private final Map<Work, Times> timesByWork = new HashMap<>();

	private final Map<String, Account> accounts = new HashMap<>();

	/**
	 * Creates a policy.
	 * @param ratio the second copies for each request, from 0 (none) to 1
	 */
	public HedgePolicy(double ratio) {
		this.ratio = ratio;
	}

	/**
	 * Returns whether there are second copies at all.
	 * @return whether the limit is above zero
	 */
	public boolean isOn() {
		return this.ratio > 0;
	}

	/**
	 * Counts the first copy of a request, whether it may be repeated or not.
	 * @param service the service
	 */
	public void recordRequest(String service) {
		Account account = account(service);
		account.saved = Math.min(MAX_SAVED_COPIES, account.saved + this.ratio);
	}

	/**
	 * Records how long a server took to answer.
	 * @param work the kind of work
	 * @param tookMs the time in milliseconds until the answer or its first event
	 * @param nowMs the time in milliseconds
	 */
	public void recordTime(Work work, long tookMs, long nowMs) {
		if (isOn()) {
			this.timesByWork.computeIfAbsent(work, (key) -> new Times(nowMs)).record(tookMs, nowMs);
		}
	}

	/**
	 * Returns when the second copy of a request is due.
	 * @param work the kind of work
	 * @param nowMs the time in milliseconds
	 * @return the time in milliseconds after the first copy was sent, or
	 * {@link #UNKNOWN_MS} while too few times are known
	 */
	public long delayMs(Work work, long nowMs) {
		Times times = this.timesByWork.get(work);
		if (!isOn() || times == null || times.count(nowMs) < MIN_TIMES) {
			return UNKNOWN_MS;
		}
		return Math.max(MIN_DELAY_MS, Math.max(times.valueAt(PERCENTILE), FAIR_CHANCE_FACTOR * times.valueAt(MEDIAN)));
	}

	/**
	 * Decides whether a second copy that is due is sent, and takes it from the limit if
	 * so.
	 * @param work the kind of work
	 * @param leftMs the time in milliseconds that the caller still waits
	 * @param room the room of the service
	 * @param nowMs the time in milliseconds
	 * @return the decision
	 */
	public HedgeDecision decide(Work work, long leftMs, Room room, long nowMs) {
		Times times = this.timesByWork.get(work);
		if (!isOn() || times == null || times.count(nowMs) < MIN_TIMES) {
			return new HedgeDecision.Refused(HedgeDecision.Reason.NO_TIMES);
		}
		if (leftMs < times.valueAt(MEDIAN)) {
			return new HedgeDecision.Refused(HedgeDecision.Reason.NO_TIME_LEFT);
		}
		if (room.load() > MAX_LOAD_RATIO * room.slots()) {
			return new HedgeDecision.Refused(HedgeDecision.Reason.SERVICE_LOADED);
		}
		Account account = account(work.service());
		if (account.winRatio < MIN_WIN_RATIO && nowMs - account.lastCopyAtMs < PAUSE_MS) {
			return new HedgeDecision.Refused(HedgeDecision.Reason.NOT_WINNING);
		}
		if (account.saved < 1) {
			return new HedgeDecision.Refused(HedgeDecision.Reason.LIMIT);
		}
		account.saved--;
		account.lastCopyAtMs = nowMs;
		return new HedgeDecision.Send();
	}

	/**
	 * Returns a copy to the limit that was not sent after all.
	 * @param service the service
	 */
	public void giveBack(String service) {
		account(service).saved++;
	}

	/**
	 * Records which copy answered first.
	 * @param service the service
	 * @param secondWon whether it was the second one
	 */
	public void recordOutcome(String service, boolean secondWon) {
		Account account = account(service);
		account.winRatio += WIN_WEIGHT * ((secondWon ? 1 : 0) - account.winRatio);
	}

	/**
	 * Forgets the times of services that no longer exist.
	 * @param services the services of the configuration in force
	 */
	public void retain(Set<String> services) {
		this.timesByWork.keySet().removeIf((work) -> !services.contains(work.service()));
		this.accounts.keySet().retainAll(services);
	}

	/**
	 * Returns the state for diagnostics.
	 * @param nowMs the time in milliseconds
	 * @return the delay by kind of work
	 */
	public Map<String, Long> delaysMs(long nowMs) {
		Map<String, Long> delays = new HashMap<>();
		this.timesByWork.keySet()
			.forEach((work) -> delays.put(work.service() + "/" + work.sizeClass(), delayMs(work, nowMs)));
		return delays;
	}

	private Account account(String service) {
		return this.accounts.computeIfAbsent(service, (name) -> new Account());
	}

	/**
	 * Requests that take similar times.
	 *
	 * @param service the service
	 * @param sizeClass 0 for plain requests, else it grows with the prompt
	 */
	public record Work(String service, int sizeClass) {

		private static final int CLASS_FACTOR_BITS = 2;

		/**
		 * Classifies a request.
		 * @param service the service
		 * @param readTokens the tokens of the prompt, or 0 for a plain request
		 * @return the kind of work; each class of prompts begins at four times the size
		 * of the one before
		 */
		public static Work of(String service, int readTokens) {
			int bits = Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(0, readTokens));
			return new Work(service, (bits + CLASS_FACTOR_BITS - 1) / CLASS_FACTOR_BITS);
		}

	}

	/**
	 * The room of a service.
	 *
	 * @param load the requests in flight at its usable servers
	 * @param slots the requests that these servers run at a time
	 */
	public record Room(int load, int slots) {

	}

	private static final class Account {

		private double saved;

		private double winRatio = 1;

		private long lastCopyAtMs = Long.MIN_VALUE / 2;

	}

	/** The times of the last one to two intervals. */
	private static final class Times {

		private IntCountsHistogram current = histogram();

		private IntCountsHistogram previous = histogram();

		private long currentSinceMs;

		Times(long nowMs) {
			this.currentSinceMs = nowMs;
		}

		private static IntCountsHistogram histogram() {
			return new IntCountsHistogram(MAX_TIME_MS, PRECISION_DIGITS);
		}

		void record(long tookMs, long nowMs) {
			renew(nowMs);
			this.current.recordValue(Math.clamp(tookMs, 1, MAX_TIME_MS));
		}

		long count(long nowMs) {
			renew(nowMs);
			return this.current.getTotalCount() + this.previous.getTotalCount();
		}

		long valueAt(double percentile) {
			if (this.previous.getTotalCount() == 0) {
				return this.current.getValueAtPercentile(percentile);
			}
			IntCountsHistogram both = this.previous.copy();
			both.add(this.current);
			return both.getValueAtPercentile(percentile);
		}

		private void renew(long nowMs) {
			if (nowMs - this.currentSinceMs < RENEWAL_MS) {
				return;
			}
			this.previous.reset();
			if (nowMs - this.currentSinceMs < 2 * RENEWAL_MS) {
				this.previous.add(this.current);
			}
			this.current.reset();
			this.currentSinceMs = nowMs;
		}

	}

}
