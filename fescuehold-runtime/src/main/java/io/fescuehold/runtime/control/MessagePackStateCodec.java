package io.fescuehold.runtime.control;

import java.io.IOException;
import java.util.List;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.fescuehold.core.port.StateCodec;
import io.fescuehold.core.state.AcceptedSubmission;
import io.fescuehold.core.state.CallKey;
import io.fescuehold.core.state.CallRecord;
import io.fescuehold.core.state.CommandOutcome;
import io.fescuehold.core.state.StateCommand;
import io.fescuehold.core.state.StateSnapshot;
import io.fescuehold.runtime.transport.MessagePack;

/**
 * Writes and reads commands, outcomes and snapshots as MessagePack.
 */
public final class MessagePackStateCodec implements StateCodec {

	private final ObjectMapper mapper = MessagePack.mapper();

	/** Creates a codec. */
	public MessagePackStateCodec() {
		// A snapshot holds up to half a million call records; without property names it
		// is smaller and written faster.
		for (Class<?> type : List.of(CallRecord.class, CallKey.class, AcceptedSubmission.class)) {
			this.mapper.configOverride(type).setFormat(JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY));
		}
	}

	@Override
	public byte[] encodeCommand(StateCommand command) {
		return write(StateCommand.class, command);
	}

	@Override
	public StateCommand decodeCommand(byte[] bytes) {
		return read(StateCommand.class, bytes);
	}

	@Override
	public byte[] encodeOutcome(CommandOutcome outcome) {
		return write(CommandOutcome.class, outcome);
	}

	@Override
	public CommandOutcome decodeOutcome(byte[] bytes) {
		return read(CommandOutcome.class, bytes);
	}

	@Override
	public byte[] encodeSnapshot(StateSnapshot snapshot) {
		return write(StateSnapshot.class, snapshot);
	}

	@Override
	public StateSnapshot decodeSnapshot(byte[] bytes) {
		return read(StateSnapshot.class, bytes);
	}

	private byte[] write(Class<?> type, Object value) {
		try {
			return this.mapper.writerFor(type).writeValueAsBytes(value);
		}
		catch (IOException ex) {
			throw new IllegalStateException("A " + type.getSimpleName() + " could not be written", ex);
		}
	}

	private <T> T read(Class<T> type, byte[] bytes) {
		try {
			return this.mapper.readValue(bytes, type);
		}
		catch (IOException ex) {
			throw new IllegalStateException("A " + type.getSimpleName() + " could not be read", ex);
		}
	}

}
