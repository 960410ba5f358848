package io.fescuehold.core.port;

import java.util.function.Supplier;

/**
 * The state machine that an agreement group replicates. All methods are called by one
 * thread, in log order.
 */
public interface ReplicatedStateMachine {

	/**
	 * Applies a committed command.
	 * @param index the log index, which grows with every command
	 * @param command the command
	 * @return the outcome, which is returned to the proposer
	 */
	byte[] apply(long index, byte[] command);

	/**
	 * Writes the whole state.
	 * @return the snapshot
	 */
	byte[] snapshot();

	/**
	 * Captures the whole state. Only the capture runs on the thread that applies
	 * commands, because writing a large state takes seconds.
	 * @return a supplier that writes the captured state and may be called by any thread
	 */
	default Supplier<byte[]> captureSnapshot() {
		byte[] snapshot = snapshot();
		return () -> snapshot;
	}

	/**
	 * Replaces the whole state.
	 * @param snapshot a snapshot written by {@link #snapshot()}
	 */
	void restore(byte[] snapshot);

}
