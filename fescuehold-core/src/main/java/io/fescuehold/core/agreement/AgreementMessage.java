package io.fescuehold.core.agreement;

import java.util.List;

import io.fescuehold.core.port.PeerMessage;

/**
 * Messages between the replicas of an agreement group. A receiver ignores messages that
 * name another identity than its own.
 */
public sealed interface AgreementMessage extends PeerMessage {

	/**
	 * Returns the agreement group.
	 * @return the name of the group
	 */
	String group();

	/**
	 * Returns the sender.
	 * @return the identity of the sender
	 */
	ReplicaId from();

	/**
	 * Asks whether the receiver would vote for the sender.
	 *
	 * @param group the group
	 * @param from the sender
	 * @param to the receiver
	 * @param term the term that the sender would use, one above its own
	 * @param lastIndex the index of the sender's last entry
	 * @param lastTerm the term of that entry
	 */
	record PreVoteRequest(String group, ReplicaId from, ReplicaId to, long term, long lastIndex,
			long lastTerm) implements AgreementMessage {
	}

	/**
	 * Answers a {@link PreVoteRequest}.
	 *
	 * @param group the group
	 * @param from the sender
	 * @param to the receiver
	 * @param term the term of the request if granted, else the sender's term
	 * @param granted whether the sender would vote for the receiver
	 */
	record PreVoteReply(String group, ReplicaId from, ReplicaId to, long term,
			boolean granted) implements AgreementMessage {
	}

	/**
	 * Asks for a vote.
	 *
	 * @param group the group
	 * @param from the sender
	 * @param to the receiver
	 * @param term the sender's term
	 * @param lastIndex the index of the sender's last entry
	 * @param lastTerm the term of that entry
	 * @param handover whether the leader of the previous term asked for this election
	 */
	record VoteRequest(String group, ReplicaId from, ReplicaId to, long term, long lastIndex, long lastTerm,
			boolean handover) implements AgreementMessage {
	}

	/**
	 * Answers a {@link VoteRequest}, once the vote is durable.
	 *
	 * @param group the group
	 * @param from the sender
	 * @param to the receiver
	 * @param term the sender's term
	 * @param granted whether the sender voted for the receiver
	 */
	record VoteReply(String group, ReplicaId from, ReplicaId to, long term,
			boolean granted) implements AgreementMessage {
	}

	/**
	 * Sends entries, or a heartbeat if there are none.
	 *
	 * @param group the group
	 * @param from the sender
	 * @param to the receiver
	 * @param term the sender's term
	 * @param prevIndex the index before the first entry
	 * @param prevTerm the term of the entry at that index
	 * @param entries the entries
	 * @param commitIndex the index up to which entries are committed
	 * @param sentAtMs the sender's time in milliseconds, which the reply repeats
	 */
	record AppendRequest(String group, ReplicaId from, ReplicaId to, long term, long prevIndex, long prevTerm,
			List<LogEntry> entries, long commitIndex, long sentAtMs) implements AgreementMessage {
	}

	/**
	 * Answers an {@link AppendRequest}, and is sent again when more entries are durable.
	 *
	 * @param group the group
	 * @param from the sender
	 * @param to the receiver
	 * @param term the sender's term
	 * @param success whether the sender had the previous entry
	 * @param matchIndex the index up to which the sender's log equals the receiver's and
	 * is durable
	 * @param verifiedIndex the index up to which the sender's log equals the receiver's
	 * @param rejectedPrevIndex the previous index that the sender did not have, or 0
	 * @param conflictTerm the term of the sender's entry at that index, or 0 if it has
	 * none
	 * @param conflictIndex the first index of that term, or the index after the sender's
	 * last entry
	 * @param sentAtMs the time in the newest request from the receiver
	 */
	record AppendReply(String group, ReplicaId from, ReplicaId to, long term, boolean success, long matchIndex,
			long verifiedIndex, long rejectedPrevIndex, long conflictTerm, long conflictIndex,
			long sentAtMs) implements AgreementMessage {
	}

	/**
	 * Sends part of a snapshot.
	 *
	 * @param group the group
	 * @param from the sender
	 * @param to the receiver
	 * @param term the sender's term
	 * @param snapshot the description of the snapshot
	 * @param offset the position of the part in bytes
	 * @param totalBytes the size of the snapshot in bytes
	 * @param data the part
	 * @param sentAtMs the sender's time in milliseconds, which the reply repeats
	 */
	record SnapshotChunk(String group, ReplicaId from, ReplicaId to, long term, SnapshotMeta snapshot, long offset,
			long totalBytes, byte[] data, long sentAtMs) implements AgreementMessage {
	}

	/**
	 * Answers a {@link SnapshotChunk}.
	 *
	 * @param group the group
	 * @param from the sender
	 * @param to the receiver
	 * @param term the sender's term
	 * @param snapshotIndex the index of the snapshot
	 * @param receivedBytes the number of bytes received without a gap
	 * @param sentAtMs the time in the request
	 */
	record SnapshotReply(String group, ReplicaId from, ReplicaId to, long term, long snapshotIndex, long receivedBytes,
			long sentAtMs) implements AgreementMessage {
	}

	/**
	 * Asks the receiver to start an election at once. The sender no longer leads.
	 *
	 * @param group the group
	 * @param from the sender
	 * @param to the receiver
	 * @param term the sender's term
	 */
	record Handover(String group, ReplicaId from, ReplicaId to, long term) implements AgreementMessage {
	}

	/**
	 * Asks a host for the identity and state of its replica.
	 *
	 * @param group the group
	 * @param from the sender
	 */
	record Probe(String group, ReplicaId from) implements AgreementMessage {
	}

	/**
	 * Answers a {@link Probe}.
	 *
	 * @param group the group
	 * @param from the sender
	 * @param to the receiver
	 * @param failureDomain the sender's failure domain
	 * @param empty whether the sender's store is empty
	 * @param genesis the first membership written by {@link MembershipCodec}, or null if
	 * the store is empty or the entry was compacted
	 * @param membership the newest membership known to be committed, written by
	 * {@link MembershipCodec}
	 */
	record ProbeReply(String group, ReplicaId from, ReplicaId to, String failureDomain, boolean empty, byte[] genesis,
			byte[] membership) implements AgreementMessage {
	}

}
