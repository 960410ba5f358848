package io.fescuehold.core.port;

import io.fescuehold.core.state.CommandOutcome;
import io.fescuehold.core.state.StateCommand;
import io.fescuehold.core.state.StateSnapshot;

/**
 * Writes and reads what the replicated state machine exchanges with its log.
 */
public interface StateCodec {

	/**
	 * Writes a command.
	 * @param command the command
	 * @return the bytes
	 */
	byte[] encodeCommand(StateCommand command);

	/**
	 * Reads a command.
	 * @param bytes the bytes
	 * @return the command
	 */
	StateCommand decodeCommand(byte[] bytes);

	/**
	 * Writes an outcome.
	 * @param outcome the outcome
	 * @return the bytes
	 */
	byte[] encodeOutcome(CommandOutcome outcome);

	/**
	 * Reads an outcome.
	 * @param bytes the bytes
	 * @return the outcome
	 */
	CommandOutcome decodeOutcome(byte[] bytes);

	/**
	 * Writes a snapshot.
	 * @param snapshot the snapshot
	 * @return the bytes
	 */
	byte[] encodeSnapshot(StateSnapshot snapshot);

	/**
	 * Reads a snapshot.
	 * @param bytes the bytes
	 * @return the snapshot
	 */
	StateSnapshot decodeSnapshot(byte[] bytes);

}
