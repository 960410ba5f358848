package io.fescuehold.core.agreement;

/**
 * Replication progress of another member, as known to the leader.
 */
final class Progress {

	/**
	 * The time of an event that has not occurred yet. Half of the smallest value, so that
	 * differences to it do not overflow.
	 */
	static final long NEVER_MS = Long.MIN_VALUE / 2;

	final ReplicaId id;

	Mode mode = Mode.PROBE;

	long matchIndex;

	long nextIndex;

	/** The leader's time when it sent the newest request that was acknowledged. */
	long ackedSentAtMs = NEVER_MS;

	long lastSentAtMs = NEVER_MS;

	boolean probeSent;

	SnapshotMeta snapshot;

	long snapshotOffset;

	long chunkSentAtMs = NEVER_MS;

	/** The time at which the member was removed, or {@link #NEVER_MS}. */
	long removedAtMs = NEVER_MS;

	Progress(ReplicaId id, long nextIndex) {
		this.id = id;
		this.nextIndex = nextIndex;
	}

	/**
	 * How the leader sends entries.
	 */
	enum Mode {

		/** One request at a time until the logs are known to match. */
		PROBE,

		/** Requests are sent without waiting for replies. */
		PIPELINE,

		/** A snapshot is sent because the entries needed were compacted. */
		SNAPSHOT

	}

}
