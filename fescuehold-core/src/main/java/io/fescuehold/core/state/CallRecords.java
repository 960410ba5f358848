package io.fescuehold.core.state;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.fescuehold.config.PolicySpec;

/**
 * The records of a share's non-idempotent calls. A key receives a new grant only if the
 * call provably was not run or its record has expired. Expiry uses the time of the
 * applied commands, so that it is deterministic on every replica.
 */
final class CallRecords {

	/**
	 * The maximum total size of the stored answer bodies. Without this limit, a full
	 * store of answers of the maximum size would need 32 GiB.
	 */
	static final long MAX_TOTAL_BODY_BYTES = 64L * 1024 * 1024;

	private static final long MS_PER_S = 1_000;

	private static final int MAX_INTERNED_NAMES = 10_000;

	private final Map<CallKey, CallRecord> records = new HashMap<>();

	private final TreeMap<Expiry, CallKey> expiries = new TreeMap<>();

	private final Map<String, String> internedNames = new HashMap<>();

	private long totalBodyBytes;

	/**
	 * Grants a call, or returns the outcome that its record implies.
	 * @param index the log index, which is used as the fencing number
	 * @param command the command
	 * @param policy the policy in force
	 * @param nowMs the time in milliseconds since the epoch
	 * @return the outcome
	 */
	CallOutcome begin(long index, StateCommand.BeginCall command, PolicySpec policy, long nowMs) {
		CallRecord record = this.records.get(command.key());
		if (record != null) {
			return isSameAttempt(record, command) ? repeatGrant(record, nowMs)
					: outcomeOf(record, command.bodyDigest(), nowMs);
		}
		int limit = policy.maxCallRecords();
		if (this.records.size() >= limit) {
			return new CallOutcome.StoreFull(limit, Math.max(1, this.expiries.firstKey().expiresAtMs() - nowMs));
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

	private static CallOutcome repeatGrant(CallRecord record, long nowMs) {
		// After the deadline, other callers may already have received the outcome
		// unknown, so the call must not be dispatched any more.
		return (nowMs < record.deadlineMs()) ? new CallOutcome.Granted(record.fencingNumber())
				: new CallOutcome.Unknown();
	}

	/**
	 * Returns the outcome that the record of a call implies.
	 * @param key the key of the call
	 * @param bodyDigest the digest of the request
	 * @param nowMs the time in milliseconds since the epoch
	 * @return the outcome, or null if there is no record
	 */
	CallOutcome lookup(CallKey key, String bodyDigest, long nowMs) {
		CallRecord record = this.records.get(key);
		return (record != null) ? outcomeOf(record, bodyDigest, nowMs) : null;
	}

	private static CallOutcome outcomeOf(CallRecord record, String bodyDigest, long nowMs) {
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
	 * Records an answer, also if the outcome of the call was recorded as unknown before.
	 * The command is ignored if its fencing number differs from that of the record or the
	 * call has completed.
	 * @param command the command
	 * @param policy the policy in force
	 * @param nowMs the time in milliseconds since the epoch
	 */
	void complete(StateCommand.CompleteCall command, PolicySpec policy, long nowMs) {
		CallRecord record = findGranted(command.key(), command.fencingNumber());
		if (record != null && record.status() != CallRecord.Status.COMPLETED) {
			remove(record);
			put(record.with(CallRecord.Status.COMPLETED, withoutOversizedBody(command.answer(), policy),
					nowMs + retentionMs(policy)));
		}
	}

	private StoredAnswer withoutOversizedBody(StoredAnswer answer, PolicySpec policy) {
		int size = answer.body().length;
		if (size <= policy.maxStoredAnswerBytes() && this.totalBodyBytes + size <= MAX_TOTAL_BODY_BYTES) {
			return answer;
		}
		return new StoredAnswer(answer.status(), answer.headers(), new byte[0], true);
	}

	/**
	 * Removes the record of a call that provably was not run. The record of a call that
	 * is unknown or completed is kept.
	 * @param command the command
	 */
	void markNotRun(StateCommand.MarkNotRun command) {
		CallRecord record = findGranted(command.key(), command.fencingNumber());
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
		CallRecord record = findGranted(command.key(), command.fencingNumber());
		if (record != null && record.status() == CallRecord.Status.BEGUN) {
			remove(record);
			put(record.with(CallRecord.Status.UNKNOWN, null, nowMs + retentionMs(policy)));
		}
	}

	private CallRecord findGranted(CallKey key, long fencingNumber) {
		CallRecord record = this.records.get(key);
		return (record != null && record.fencingNumber() == fencingNumber) ? record : null;
	}

	/**
	 * Removes the records whose retention has ended.
	 * @param nowMs the time in milliseconds since the epoch
	 */
	void expire(long nowMs) {
		while (!this.expiries.isEmpty() && this.expiries.firstKey().expiresAtMs() <= nowMs) {
			remove(this.records.get(this.expiries.firstEntry().getValue()));
		}
	}

	private void put(CallRecord newRecord) {
		CallRecord record = withInternedNames(newRecord);
		this.records.put(record.key(), record);
		this.expiries.put(Expiry.of(record), record.key());
		this.totalBodyBytes += bodyBytes(record);
	}

	// Every decoded command has its own copies of the names; interning them saves a
	// quarter of the memory of a record.
	private CallRecord withInternedNames(CallRecord record) {
		if (this.internedNames.size() > MAX_INTERNED_NAMES) {
			this.internedNames.clear();
		}
		CallKey key = new CallKey(intern(record.key().team()), record.key().idempotencyKey());
		boolean begun = record.status() == CallRecord.Status.BEGUN;
		return new CallRecord(key, record.bodyDigest(), intern(record.service()), intern(record.routerId()),
				begun ? record.attemptId() : "", record.fencingNumber(), record.status(), record.deadlineMs(),
				record.expiresAtMs(), record.answer());
	}

	private String intern(String name) {
		if (name == null) {
			return null;
		}
		String known = this.internedNames.putIfAbsent(name, name);
		return (known != null) ? known : name;
	}

	private void remove(CallRecord record) {
		this.records.remove(record.key());
		this.expiries.remove(Expiry.of(record));
		this.totalBodyBytes -= bodyBytes(record);
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
	 * @return the records in the order of their expiry, which is the same on every
	 * replica
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
		this.totalBodyBytes = 0;
		entries.forEach(this::put);
	}

	/**
	 * The sort key of a record in the order of expiry.
	 *
	 * @param expiresAtMs the time of removal in milliseconds since the epoch
	 * @param fencingNumber the fencing number, which is unique per record
	 */
	private record Expiry(long expiresAtMs, long fencingNumber) implements Comparable<Expiry> {

		private static final Comparator<Expiry> ORDER = Comparator.comparingLong(Expiry::expiresAtMs)
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
