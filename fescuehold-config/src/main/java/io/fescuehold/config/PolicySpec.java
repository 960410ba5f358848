package io.fescuehold.config;

/**
 * Limits and timing that apply to a whole share. Use {@link #DEFAULT} and its
 * {@code with} methods, or JSON in which every property is optional.
 *
 * @param loadBound the maximum load of a model server as a multiple of the mean load,
 * 1.05 to 10, default 1.25
 * @param congestionTokens the mean number of outstanding tokens per model server above
 * which teams are limited according to their weights, default 40,000
 * @param maxQueuedRequests the maximum number of requests in the queue of a router,
 * default 1,000
 * @param maxQueueMs the maximum time in milliseconds that a request waits in the queue of
 * a router, default 2,000
 * @param stallLimitMs the maximum stall of a stream in milliseconds that a caller may
 * see, default 2,000
 * @param entryAnswerMs the validity of an entry response in milliseconds, default 30,000
 * @param dispatchWindowMs the time in milliseconds after its record is written within
 * which a non-idempotent call may be dispatched, default 2,000
 * @param keyRetentionS the retention of the record of an idempotency key in seconds,
 * default 86,400
 * @param maxCallRecords the maximum number of records of idempotency keys, default 50,000
 * @param maxStoredAnswerBytes the maximum size in bytes of a response body stored with a
 * record, default 65,536
 */
public record PolicySpec(Double loadBound, Long congestionTokens, Integer maxQueuedRequests, Integer maxQueueMs,
		Integer stallLimitMs, Integer entryAnswerMs, Integer dispatchWindowMs, Long keyRetentionS,
		Integer maxCallRecords, Integer maxStoredAnswerBytes) {

	/** The policy in which every property has its default. */
	public static final PolicySpec DEFAULT = new PolicySpec(null, null, null, null, null, null, null, null, null, null);

	private static final double DEFAULT_LOAD_BOUND = 1.25;

	private static final double MIN_LOAD_BOUND = 1.05;

	private static final double MAX_LOAD_BOUND = 10;

	private static final long DEFAULT_CONGESTION_TOKENS = 40_000;

	private static final int DEFAULT_MAX_QUEUED_REQUESTS = 1_000;

	private static final int DEFAULT_MAX_QUEUE_MS = 2_000;

	private static final int DEFAULT_STALL_LIMIT_MS = 2_000;

	private static final int MIN_STALL_LIMIT_MS = 200;

	private static final int DEFAULT_ENTRY_ANSWER_MS = 30_000;

	private static final int MIN_ENTRY_ANSWER_MS = 1_000;

	private static final int DEFAULT_DISPATCH_WINDOW_MS = 2_000;

	private static final long DEFAULT_KEY_RETENTION_S = 86_400;

	// A record takes about 0.9 KB of heap. More than 50,000 would use up the 128 MB
	// available for the control state of a daemon, replicas of two shares included.
	private static final int DEFAULT_MAX_CALL_RECORDS = 50_000;

	private static final int DEFAULT_MAX_STORED_ANSWER_BYTES = 65_536;

	private static final int MAX_STORED_ANSWER_BYTES = 1_048_576;

	private static final int MAX_TIME_MS = 3_600_000;

	public PolicySpec {
		loadBound = orDefault(loadBound, DEFAULT_LOAD_BOUND);
		congestionTokens = orDefault(congestionTokens, DEFAULT_CONGESTION_TOKENS);
		maxQueuedRequests = orDefault(maxQueuedRequests, DEFAULT_MAX_QUEUED_REQUESTS);
		maxQueueMs = orDefault(maxQueueMs, DEFAULT_MAX_QUEUE_MS);
		stallLimitMs = orDefault(stallLimitMs, DEFAULT_STALL_LIMIT_MS);
		entryAnswerMs = orDefault(entryAnswerMs, DEFAULT_ENTRY_ANSWER_MS);
		dispatchWindowMs = orDefault(dispatchWindowMs, DEFAULT_DISPATCH_WINDOW_MS);
		keyRetentionS = orDefault(keyRetentionS, DEFAULT_KEY_RETENTION_S);
		maxCallRecords = orDefault(maxCallRecords, DEFAULT_MAX_CALL_RECORDS);
		maxStoredAnswerBytes = orDefault(maxStoredAnswerBytes, DEFAULT_MAX_STORED_ANSWER_BYTES);
		Checks.inRange("loadBound", loadBound, MIN_LOAD_BOUND, MAX_LOAD_BOUND);
		Checks.inRange("congestionTokens", congestionTokens, 1, Long.MAX_VALUE);
		Checks.inRange("maxQueuedRequests", maxQueuedRequests, 0, Integer.MAX_VALUE);
		Checks.inRange("maxQueueMs", maxQueueMs, 0, MAX_TIME_MS);
		Checks.inRange("stallLimitMs", stallLimitMs, MIN_STALL_LIMIT_MS, MAX_TIME_MS);
		Checks.inRange("entryAnswerMs", entryAnswerMs, MIN_ENTRY_ANSWER_MS, MAX_TIME_MS);
		Checks.inRange("dispatchWindowMs", dispatchWindowMs, 1, MAX_TIME_MS);
		Checks.inRange("keyRetentionS", keyRetentionS, 1, Integer.MAX_VALUE);
		Checks.inRange("maxCallRecords", maxCallRecords, 1, Integer.MAX_VALUE);
		Checks.inRange("maxStoredAnswerBytes", maxStoredAnswerBytes, 0, MAX_STORED_ANSWER_BYTES);
	}

	private static <T> T orDefault(T value, T defaultValue) {
		return (value != null) ? value : defaultValue;
	}

	/**
	 * Returns a copy with another load bound.
	 * @param newLoadBound the maximum load as a multiple of the mean load
	 * @return the copy
	 */
	public PolicySpec withLoadBound(double newLoadBound) {
		return new PolicySpec(newLoadBound, this.congestionTokens, this.maxQueuedRequests, this.maxQueueMs,
				this.stallLimitMs, this.entryAnswerMs, this.dispatchWindowMs, this.keyRetentionS, this.maxCallRecords,
				this.maxStoredAnswerBytes);
	}

	/**
	 * Returns a copy with another validity of entry responses.
	 * @param newEntryAnswerMs the validity of an entry response in milliseconds
	 * @return the copy
	 */
	public PolicySpec withEntryAnswerMs(int newEntryAnswerMs) {
		return new PolicySpec(this.loadBound, this.congestionTokens, this.maxQueuedRequests, this.maxQueueMs,
				this.stallLimitMs, newEntryAnswerMs, this.dispatchWindowMs, this.keyRetentionS, this.maxCallRecords,
				this.maxStoredAnswerBytes);
	}

}
