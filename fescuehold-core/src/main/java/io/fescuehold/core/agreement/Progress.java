package io.fescuehold.core.agreement;

/**
 * What a leader knows about the log of another member.
 */
final class Progress {

	/** The time of an acknowledgement that has not arrived yet. */
	static final long NEVER = Long.MIN_VALUE / 2;

	final ReplicaId id;

	Mode mode = Mode.PROBE;

	long matchIndex;

	long nextIndex;

	/** The leader's time when it sent the newest request that was acknowledged. */
	long ackedSentAtMs = NEVER;

	long lastSentMs = NEVER;

	boolean probeSent;

	SnapshotMeta snapshot;

	long snapshotOffset;

	long chunkSentMs = NEVER;

	/** The time at which the member was removed, or {@link #NEVER}. */
	long removedMs = NEVER;

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
