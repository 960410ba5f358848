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
	 * Asks the leader to commit a command. Answered by {@link Applied} or
	 * {@link Redirect}.
	 *
	 * @param share the share
	 * @param command the command, whose time the leader replaces
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
	 * Tells that the receiver of a request does not lead the share's group.
	 *
	 * @param leaderHostId the host id of the leader as far as known, or null
	 */
	record Redirect(String leaderHostId) implements ControlMessage {
	}

	/**
	 * Asks for the configuration in force after a read barrier. Answered by
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
	 * Asks what a submission would change. Answered by {@link DryRunResult} or
	 * {@link Redirect}.
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
	 * @param delta the difference from the configuration in force, or null if the content
	 * could not be read
	 */
	record DryRunResult(StateOutcome refusal, ShareDelta delta) implements ControlMessage {
	}

	/**
	 * Asks the leader for a membership change. Answered by {@link MembershipChanged} or
	 * {@link Redirect}.
	 *
	 * @param change the change
	 */
	record ChangeMembership(MembershipChange change) implements ControlMessage {
	}

	/**
	 * Carries the result of a membership change.
	 *
	 * @param result the state reached, in words
	 */
	record MembershipChanged(String result) implements ControlMessage {
	}

	/**
	 * Asks a replica how it sees its group. Answered by {@link GroupStatus}.
	 *
	 * @param share the share
	 */
	record ReadGroup(String share) implements ControlMessage {
	}

	/**
	 * How a replica sees its group.
	 *
	 * @param leaderHostId the host id of the leader as far as known, or null
	 * @param number the number of the configuration applied at the replica
	 * @param members the members in words, the leader's view being the newest
	 */
	record GroupStatus(String leaderHostId, long number, List<String> members) implements ControlMessage {
	}

	/**
	 * Asks any replica what other shares need to know of its share. Answered by
	 * {@link Observation}.
	 *
	 * @param share the share
	 */
	record ReadObservation(String share) implements ControlMessage {
	}

	/**
	 * Carries what other shares need to know of a share.
	 *
	 * @param command the command that tells it to their state machines
	 */
	record Observation(StateCommand.ObserveShare command) implements ControlMessage {
	}

}
