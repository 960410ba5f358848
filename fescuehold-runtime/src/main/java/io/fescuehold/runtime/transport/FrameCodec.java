package io.fescuehold.runtime.transport;

import java.io.IOException;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.error.RunStatus;
import io.fescuehold.core.port.PeerMessage;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack.PackerConfig;
import org.msgpack.core.MessagePack.UnpackerConfig;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes frame bodies. A body is a MessagePack array of kind, correlation
 * id, type name and message; unused trailing elements are left out, which keeps a ping at
 * two bytes.
 */
final class FrameCodec {

	private static final int FIELDS_WITH_MESSAGE = 4;

	private static final PackerConfig PACKER = new PackerConfig();

	private static final UnpackerConfig UNPACKER = new UnpackerConfig();

	private final ObjectMapper mapper = MessagePack.mapper();

	private final MessageTypes types;

	/**
	 * Creates a codec.
	 * @param types the registry of message types
	 */
	FrameCodec(MessageTypes types) {
		this.types = types;
	}

	/**
	 * Encodes a frame body.
	 * @param frame the frame
	 * @return the bytes
	 */
	byte[] encode(Frame frame) {
		try (MessageBufferPacker packer = PACKER.newBufferPacker()) {
			boolean withMessage = frame.t() != null;
			packer.packArrayHeader(withMessage ? FIELDS_WITH_MESSAGE : (frame.c() != 0) ? 2 : 1);
			packer.packInt(frame.k());
			if (withMessage || frame.c() != 0) {
				packer.packLong(frame.c());
			}
			if (withMessage) {
				packer.packString(frame.t());
				packer.packBinaryHeader(frame.b().length);
				packer.writePayload(frame.b());
			}
			return packer.toByteArray();
		}
		catch (IOException ex) {
			throw new IllegalStateException("A frame could not be written to memory", ex);
		}
	}

	/**
	 * Decodes a frame body.
	 * @param bytes the bytes
	 * @return the frame
	 * @throws IOException if the bytes are not a frame
	 */
	Frame decode(byte[] bytes) throws IOException {
		try (MessageUnpacker unpacker = UNPACKER.newUnpacker(bytes)) {
			int fields = unpacker.unpackArrayHeader();
			int kind = unpacker.unpackInt();
			long correlation = (fields > 1) ? unpacker.unpackLong() : 0;
			if (fields < FIELDS_WITH_MESSAGE) {
				return new Frame(kind, correlation, null, null);
			}
			String type = unpacker.unpackString();
			return new Frame(kind, correlation, type, unpacker.readPayload(unpacker.unpackBinaryHeader()));
		}
		catch (org.msgpack.core.MessagePackException ex) {
			throw new IOException("A frame is not valid MessagePack", ex);
		}
	}

	/**
	 * Creates the frame of a message.
	 * @param kind the kind of the frame
	 * @param correlation the correlation id, or 0
	 * @param message the message
	 * @return the frame
	 */
	Frame messageFrame(int kind, long correlation, PeerMessage message) {
		return new Frame(kind, correlation, this.types.nameOf(message.getClass()).wireName(), write(message));
	}

	/**
	 * Creates the frame of an error.
	 * @param correlation the correlation id of the request
	 * @param error the error
	 * @return the frame
	 */
	Frame errorFrame(long correlation, FescueholdException error) {
		return new Frame(Frame.ERROR, correlation, error.code().name(),
				write(new Frame.RemoteError(error.run().name(), error.retryAfterMs(), error.getMessage())));
	}

	/**
	 * Reads the message of a frame.
	 * @param frame the frame
	 * @return the message
	 * @throws IOException if the type is not registered or the bytes are not valid
	 */
	PeerMessage readMessage(Frame frame) throws IOException {
		Class<? extends PeerMessage> type = this.types.typeOf(frame.t());
		if (type == null) {
			throw new IOException("Message type " + frame.t() + " is not registered");
		}
		return this.mapper.readValue(frame.b(), type);
	}

	/**
	 * Reads the error of a frame.
	 * @param frame the frame
	 * @return the error
	 * @throws IOException if the bytes are not valid
	 */
	FescueholdException readError(Frame frame) throws IOException {
		Frame.RemoteError error = this.mapper.readValue(frame.b(), Frame.RemoteError.class);
		try {
			return FescueholdException.withMessage(ErrorCode.valueOf(frame.t()), RunStatus.valueOf(error.run()),
					error.retryAfterMs(), error.message());
		}
		catch (IllegalArgumentException ex) {
			// A newer version may send a code that is unknown here.
			return FescueholdException.withMessage(ErrorCode.OUTCOME_UNKNOWN, RunStatus.UNKNOWN, error.retryAfterMs(),
					error.message());
		}
	}

	private byte[] write(Object value) {
		try {
			return this.mapper.writeValueAsBytes(value);
		}
		catch (IOException ex) {
			throw new IllegalArgumentException("Message " + value.getClass().getName() + " could not be written", ex);
		}
	}

}
