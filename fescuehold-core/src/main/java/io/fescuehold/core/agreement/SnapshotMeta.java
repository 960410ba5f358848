package io.fescuehold.core.agreement;

import java.util.Objects;

/**
 * Describes a snapshot of the replicated state machine.
 *
 * @param index the index of the last entry that the snapshot contains
 * @param term the term of that entry
 * @param membership the membership at that entry, written by {@link MembershipCodec}
 */
public record SnapshotMeta(long index, long term, byte[] membership) {

	/**
	 * Checks the arguments.
	 */
	public SnapshotMeta {
		Objects.requireNonNull(membership, "membership");
	}

}
