package io.fescuehold.core.port;

import io.fescuehold.core.state.CommandOutcome;
import io.fescuehold.core.state.StateCommand;
import io.fescuehold.core.state.StateSnapshot;

/**
 * Encodes and decodes the commands, outcomes and snapshots of the replicated state
 * machine.
 */
public interface StateCodec {

	/**
	 * Encodes a command.
	 * @param command the command
	 * @return the bytes
	 */
	byte[] encodeCommand(StateCommand command);

	/**
	 * Decodes a command.
	 * @param bytes the bytes
	 * @return the command
	 */
	StateCommand decodeCommand(byte[] bytes);

	/**
	 * Encodes an outcome.
	 * @param outcome the outcome
	 * @return the bytes
	 */
	byte[] encodeOutcome(CommandOutcome outcome);

	/**
	 * Decodes an outcome.
	 * @param bytes the bytes
	 * @return the outcome
	 */
	CommandOutcome decodeOutcome(byte[] bytes);

	/**
	 * Encodes a snapshot.
	 * @param snapshot the snapshot
	 * @return the bytes
	 */
	byte[] encodeSnapshot(StateSnapshot snapshot);

	/**
	 * Decodes a snapshot.
	 * @param bytes the bytes
	 * @return the snapshot
	 */
	StateSnapshot decodeSnapshot(byte[] bytes);

}
