package io.fescuehold.runtime.replica;

import java.nio.charset.StandardCharsets;

import io.fescuehold.core.port.ReplicatedStateMachine;

/**
 * A state machine that concatenates the commands and can be made to fail.
 */
final class ConcatenatingStateMachine implements ReplicatedStateMachine {

	volatile RuntimeException failure;

	private volatile String state = "";

	@Override
	public byte[] apply(long index, byte[] command) {
		if (this.failure != null) {
			throw this.failure;
		}
		this.state += new String(command, StandardCharsets.UTF_8) + ";";
		return this.state.getBytes(StandardCharsets.UTF_8);
	}

	@Override
	public byte[] snapshot() {
		return this.state.getBytes(StandardCharsets.UTF_8);
	}

	@Override
	public void restore(byte[] snapshot) {
		this.state = new String(snapshot, StandardCharsets.UTF_8);
	}

	String state() {
		return this.state;
	}

}
