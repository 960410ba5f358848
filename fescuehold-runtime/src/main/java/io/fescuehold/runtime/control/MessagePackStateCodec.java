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
 * Encodes and decodes commands, outcomes and snapshots as MessagePack.
 */
public final class MessagePackStateCodec implements StateCodec {

	private final ObjectMapper mapper = MessagePack.mapper();

	/** Creates a codec. */
	public MessagePackStateCodec() {
		// A snapshot holds up to half a million call records. As arrays without property
		// names they are smaller and faster to encode.
		for (Class<?> type : List.of(CallRecord.class, CallKey.class, AcceptedSubmission.class)) {
			this.mapper.configOverride(type).setFormat(JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY));
		}
	}

	@Override
	public byte[] encodeCommand(StateCommand command) {
		return encode(StateCommand.class, command);
	}

	@Override
	public StateCommand decodeCommand(byte[] bytes) {
		return decode(StateCommand.class, bytes);
	}

	@Override
	public byte[] encodeOutcome(CommandOutcome outcome) {
		return encode(CommandOutcome.class, outcome);
	}

	@Override
	public CommandOutcome decodeOutcome(byte[] bytes) {
		return decode(CommandOutcome.class, bytes);
	}

	@Override
	public byte[] encodeSnapshot(StateSnapshot snapshot) {
		return encode(StateSnapshot.class, snapshot);
	}

	@Override
	public StateSnapshot decodeSnapshot(byte[] bytes) {
		return decode(StateSnapshot.class, bytes);
	}

	private byte[] encode(Class<?> type, Object value) {
		try {
			return this.mapper.writerFor(type).writeValueAsBytes(value);
		}
		catch (IOException ex) {
			throw new IllegalStateException("A " + type.getSimpleName() + " could not be encoded as MessagePack", ex);
		}
	}

	private <T> T decode(Class<T> type, byte[] bytes) {
		try {
			return this.mapper.readValue(bytes, type);
		}
		catch (IOException ex) {
			throw new IllegalStateException("A " + type.getSimpleName() + " could not be decoded from MessagePack", ex);
		}
	}

}
