package io.fescuehold.runtime.control;

import java.util.List;

import io.fescuehold.core.port.PeerMessage;
import io.fescuehold.core.state.CommandOutcome;
import io.fescuehold.core.state.ShareDelta;
import io.fescuehold.core.state.StateCommand;
import io.fescuehold.core.state.StateOutcome;

/**
 * Requests to the replicas of a share and their replies.
 */
public sealed interface ControlMessage extends PeerMessage {

	/**
	 * Requests that the leader commit a command. Answered by {@link Applied} or
	 * {@link Redirect}.
	 *
	 * @param share the share
	 * @param command the command, whose time is replaced by the time of the leader
	 */
	record Apply(String share, StateCommand command) implements ControlMessage {
	}

	/**
	 * Carries the outcome of a committed command.
	 *
	 * @param outcome the outcome
	 */
	record Applied(CommandOutcome outcome) implements ControlMessage {
	}

	/**
	 * Reports that the receiver of a request is not the leader of the share's group.
	 *
	 * @param leaderHostId the host id of the leader, or null if unknown
	 */
	record Redirect(String leaderHostId) implements ControlMessage {
	}

	/**
	 * Requests the configuration in force after a read barrier. Answered by
	 * {@link ShareRead} or {@link Redirect}.
	 *
	 * @param share the share
	 */
	record ReadShare(String share) implements ControlMessage {
	}

	/**
	 * Carries the configuration in force.
	 *
	 * @param configJson the canonical JSON
	 * @param digest the digest of the content
	 * @param leaderHostId the host id of the leader
	 */
	record ShareRead(byte[] configJson, String digest, String leaderHostId) implements ControlMessage {
	}

	/**
	 * Requests the changes that a submission would make. Answered by {@link DryRunResult}
	 * or {@link Redirect}.
	 *
	 * @param share the share
	 * @param configJson the JSON of the configuration
	 */
	record DryRun(String share, byte[] configJson) implements ControlMessage {
	}

	/**
	 * Carries the result of a dry run.
	 *
	 * @param refusal the refusal that the submission would receive, or null
	 * @param delta the delta from the configuration in force, or null if the submitted
	 * JSON is not valid
	 */
	record DryRunResult(StateOutcome refusal, ShareDelta delta) implements ControlMessage {
	}

	/**
	 * Requests a membership change from the leader. Answered by {@link MembershipChanged}
	 * or {@link Redirect}.
	 *
	 * @param change the change
	 */
	record ChangeMembership(MembershipChange change) implements ControlMessage {
	}

	/**
	 * Carries the result of a membership change.
	 *
	 * @param result a description of the membership reached
	 */
	record MembershipChanged(String result) implements ControlMessage {
	}

	/**
	 * Requests the status of a group from one of its replicas. Answered by
	 * {@link GroupStatus}.
	 *
	 * @param share the share
	 */
	record ReadGroup(String share) implements ControlMessage {
	}

	/**
	 * The status of a group as known to one replica.
	 *
	 * @param leaderHostId the host id of the leader, or null if unknown
	 * @param number the number of the configuration applied at the replica
	 * @param members descriptions of the members; the leader's are the most recent
	 */
	record GroupStatus(String leaderHostId, long number, List<String> members) implements ControlMessage {
	}

	/**
	 * Requests from any replica the state of its share that other shares need to check
	 * claims. Answered by {@link Observation}.
	 *
	 * @param share the share
	 */
	record ReadObservation(String share) implements ControlMessage {
	}

	/**
	 * Carries the state of a share that other shares need to check claims.
	 *
	 * @param command the command that records it in their state machines
	 */
	record Observation(StateCommand.ObserveShare command) implements ControlMessage {
	}

}
