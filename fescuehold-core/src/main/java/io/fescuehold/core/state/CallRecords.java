package io.fescuehold.core.state;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.fescuehold.config.PolicySpec;

/**
 * The records of a share's non-idempotent calls. A key is granted at most once until the
 * call is proved not to have run. Records are removed by the time of the commands that
 * are applied.
 */
final class CallRecords {

	/**
	 * The bytes of answer bodies kept over all records. Without this bound a full store
	 * with the largest answers would need 32 GiB.
	 */
	static final long MAX_BODY_BYTES = 64L * 1024 * 1024;

	private static final long MS_PER_S = 1_000;

	private static final int MAX_SHARED_NAMES = 10_000;

	private final Map<CallKey, CallRecord> records = new HashMap<>();

	private final TreeMap<Expiry, CallKey> expiries = new TreeMap<>();

	private final Map<String, String> names = new HashMap<>();

	private long bodyBytes;

	/**
	 * Grants a call or answers from its record.
	 * @param index the log index, which becomes the fencing number
	 * @param command the command
	 * @param policy the policy in force
	 * @param nowMs the time in milliseconds since the epoch
	 * @return the outcome
	 */
	CallOutcome begin(long index, StateCommand.BeginCall command, PolicySpec policy, long nowMs) {
		CallRecord record = this.records.get(command.key());
		if (record != null) {
			return isSameAttempt(record, command) ? granted(record, nowMs)
					: describe(record, command.bodyDigest(), nowMs);
		}
		int limit = policy.maxCallRecords();
		if (this.records.size() >= limit) {
			return new CallOutcome.StoreFull(limit, Math.max(1, this.expiries.firstKey().atMs() - nowMs));
		}
		long expiresAtMs = Math.max(nowMs, command.deadlineMs()) + retentionMs(policy);
		put(new CallRecord(command.key(), command.bodyDigest(), command.service(), command.routerId(),
				command.attemptId(), index, CallRecord.Status.BEGUN, command.deadlineMs(), expiresAtMs, null));
		return new CallOutcome.Granted(index);
	}

	private static boolean isSameAttempt(CallRecord record, StateCommand.BeginCall command) {
		return record.status() == CallRecord.Status.BEGUN && !command.attemptId().isEmpty()
				&& record.attemptId().equals(command.attemptId()) && record.routerId().equals(command.routerId())
				&& record.bodyDigest().equals(command.bodyDigest());
	}

	private static CallOutcome granted(CallRecord record, long nowMs) {
		// Past the deadline other callers have been told that the call is unknown, so it
		// must no longer be dispatched.
		return (nowMs < record.deadlineMs()) ? new CallOutcome.Granted(record.fencingNumber())
				: new CallOutcome.Unknown();
	}

	/**
	 * Answers from the record of a call.
	 * @param key the key of the call
	 * @param bodyDigest the digest of the request
	 * @param nowMs the time in milliseconds since the epoch
	 * @return the outcome, or null if there is no record
	 */
	CallOutcome lookup(CallKey key, String bodyDigest, long nowMs) {
		CallRecord record = this.records.get(key);
		return (record != null) ? describe(record, bodyDigest, nowMs) : null;
	}

	private static CallOutcome describe(CallRecord record, String bodyDigest, long nowMs) {
		if (!record.bodyDigest().equals(bodyDigest)) {
			return new CallOutcome.DigestMismatch();
		}
		return switch (record.status()) {
			case COMPLETED -> new CallOutcome.Completed(record.answer());
			case UNKNOWN -> new CallOutcome.Unknown();
			case BEGUN -> (nowMs < record.deadlineMs()) ? new CallOutcome.InProgress(record.deadlineMs() - nowMs)
					: new CallOutcome.Unknown();
		};
	}

	/**
	 * Records an answer. A true answer also replaces the state unknown. The command is
	 * ignored if its fencing number is not that of the record.
	 * @param command the command
	 * @param policy the policy in force
	 * @param nowMs the time in milliseconds since the epoch
	 */
	void complete(StateCommand.CompleteCall command, PolicySpec policy, long nowMs) {
		CallRecord record = granted(command.key(), command.fencingNumber());
		if (record != null && record.status() != CallRecord.Status.COMPLETED) {
			remove(record);
			put(record.with(CallRecord.Status.COMPLETED, bounded(command.answer(), policy),
					nowMs + retentionMs(policy)));
		}
	}

	private StoredAnswer bounded(StoredAnswer answer, PolicySpec policy) {
		int size = answer.body().length;
		if (size <= policy.maxStoredAnswerBytes() && this.bodyBytes + size <= MAX_BODY_BYTES) {
			return answer;
		}
		return new StoredAnswer(answer.status(), answer.headers(), new byte[0], true);
	}

	/**
	 * Removes the record of a call that was proved not to have run. A call that was
	 * declared unknown or completed stays so.
	 * @param command the command
	 */
	void markNotRun(StateCommand.MarkNotRun command) {
		CallRecord record = granted(command.key(), command.fencingNumber());
		if (record != null && record.status() == CallRecord.Status.BEGUN) {
			remove(record);
		}
	}

	/**
	 * Records that the outcome of a call is unknown, unless it has completed.
	 * @param command the command
	 * @param policy the policy in force
	 * @param nowMs the time in milliseconds since the epoch
	 */
	void markUnknown(StateCommand.MarkUnknown command, PolicySpec policy, long nowMs) {
		CallRecord record = granted(command.key(), command.fencingNumber());
		if (record != null && record.status() == CallRecord.Status.BEGUN) {
			remove(record);
			put(record.with(CallRecord.Status.UNKNOWN, null, nowMs + retentionMs(policy)));
		}
	}

	private CallRecord granted(CallKey key, long fencingNumber) {
		CallRecord record = this.records.get(key);
		return (record != null && record.fencingNumber() == fencingNumber) ? record : null;
	}

	/**
	 * Removes the records whose retention has ended.
	 * @param nowMs the time in milliseconds since the epoch
	 */
	void expire(long nowMs) {
		while (!this.expiries.isEmpty() && this.expiries.firstKey().atMs() <= nowMs) {
			remove(this.records.get(this.expiries.firstEntry().getValue()));
		}
	}

	private void put(CallRecord newRecord) {
		CallRecord record = withSharedNames(newRecord);
		this.records.put(record.key(), record);
		this.expiries.put(Expiry.of(record), record.key());
		this.bodyBytes += bodyBytes(record);
	}

	// The names are read anew from every command; shared copies save a quarter of the
	// memory of a record.
	private CallRecord withSharedNames(CallRecord record) {
		if (this.names.size() > MAX_SHARED_NAMES) {
			this.names.clear();
		}
		CallKey key = new CallKey(shared(record.key().team()), record.key().idempotencyKey());
		boolean begun = record.status() == CallRecord.Status.BEGUN;
		return new CallRecord(key, record.bodyDigest(), shared(record.service()), shared(record.routerId()),
				begun ? record.attemptId() : "", record.fencingNumber(), record.status(), record.deadlineMs(),
				record.expiresAtMs(), record.answer());
	}

	private String shared(String name) {
		if (name == null) {
			return null;
		}
		String known = this.names.putIfAbsent(name, name);
		return (known != null) ? known : name;
	}

	private void remove(CallRecord record) {
		this.records.remove(record.key());
		this.expiries.remove(Expiry.of(record));
		this.bodyBytes -= bodyBytes(record);
	}

	private static int bodyBytes(CallRecord record) {
		return (record.answer() != null) ? record.answer().body().length : 0;
	}

	private static long retentionMs(PolicySpec policy) {
		return policy.keyRetentionS() * MS_PER_S;
	}

	/**
	 * Returns the number of records.
	 * @return the number
	 */
	int size() {
		return this.records.size();
	}

	/**
	 * Returns the records.
	 * @return the records in the order of their expiry, the same on every replica
	 */
	List<CallRecord> entries() {
		List<CallRecord> entries = new ArrayList<>(this.records.size());
		this.expiries.values().forEach((key) -> entries.add(this.records.get(key)));
		return entries;
	}

	/**
	 * Replaces the records.
	 * @param entries the records
	 */
	void restore(List<CallRecord> entries) {
		this.records.clear();
		this.expiries.clear();
		this.bodyBytes = 0;
		entries.forEach(this::put);
	}

	/**
	 * The place of a record in the order of removal.
	 *
	 * @param atMs the time of removal in milliseconds since the epoch
	 * @param fencingNumber the fencing number, which differs between records
	 */
	private record Expiry(long atMs, long fencingNumber) implements Comparable<Expiry> {

		private static final Comparator<Expiry> ORDER = Comparator.comparingLong(Expiry::atMs)
			.thenComparingLong(Expiry::fencingNumber);

		static Expiry of(CallRecord record) {
			return new Expiry(record.expiresAtMs(), record.fencingNumber());
		}

		@Override
		public int compareTo(Expiry other) {
			return ORDER.compare(this, other);
		}

	}

}
