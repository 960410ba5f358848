package io.fescuehold.core.state;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

import io.fescuehold.core.port.StateCodec;

/**
 * Keeps the values in memory and encodes each as its index in a list.
 */
final class InMemoryCodec implements StateCodec {

	private final List<Object> values = new ArrayList<>();

	@Override
	public byte[] encodeCommand(StateCommand command) {
		return put(command);
	}

	@Override
	public StateCommand decodeCommand(byte[] bytes) {
		return (StateCommand) get(bytes);
	}

	@Override
	public byte[] encodeOutcome(CommandOutcome outcome) {
		return put(outcome);
	}

	@Override
	public CommandOutcome decodeOutcome(byte[] bytes) {
		return (CommandOutcome) get(bytes);
	}

	@Override
	public byte[] encodeSnapshot(StateSnapshot snapshot) {
		return put(snapshot);
	}

	@Override
	public StateSnapshot decodeSnapshot(byte[] bytes) {
		return (StateSnapshot) get(bytes);
	}

	private byte[] put(Object value) {
		this.values.add(value);
		return ByteBuffer.allocate(Integer.BYTES).putInt(this.values.size() - 1).array();
	}

	private Object get(byte[] bytes) {
		return this.values.get(ByteBuffer.wrap(bytes).getInt());
	}

}
