package io.fescuehold.runtime.transport;

import java.util.concurrent.atomic.AtomicReference;

import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.error.RunStatus;
import io.fescuehold.core.port.PeerMessage;
import reactor.core.publisher.MonoSink;

/**
 * A message to a peer. It records whether it was written to a connection: a request that
 * fails before that has certainly not been received by the peer.
 */
final class OutgoingMessage {

	private final AtomicReference<State> state = new AtomicReference<>(State.QUEUED);

	private final long correlation;

	private final byte[] body;

	private final String group;

	private final MonoSink<PeerMessage> sink;

	private volatile FrameChannel writtenTo;

	/**
	 * Creates an outgoing message.
	 * @param correlation the correlation id, or 0 for a message without reply
	 * @param body the body of the frame
	 * @param group the message group
	 * @param sink receives the reply, or null for a message without reply
	 */
	OutgoingMessage(long correlation, byte[] body, String group, MonoSink<PeerMessage> sink) {
		this.correlation = correlation;
		this.body = body;
		this.group = group;
		this.sink = sink;
	}

	long correlation() {
		return this.correlation;
	}

	byte[] body() {
		return this.body;
	}

	String group() {
		return this.group;
	}

	boolean isRequest() {
		return this.sink != null;
	}

	/**
	 * Marks the message as written.
	 * @param channel the connection it is written to
	 * @return whether it may be written; false if it has been abandoned
	 */
	boolean startWriting(FrameChannel channel) {
		this.writtenTo = channel;
		return this.state.compareAndSet(State.QUEUED, State.WRITTEN);
	}

	/**
	 * Returns whether the message was written to a connection.
	 * @param channel the connection
	 * @return whether it was written to this connection
	 */
	boolean isWrittenTo(FrameChannel channel) {
		return this.state.get() == State.WRITTEN && this.writtenTo == channel;
	}

	/**
	 * Abandons the message and, if it is a request, fails it.
	 * @param hostId the host id of the peer
	 * @param reason the reason
	 */
	void fail(String hostId, String reason) {
		FescueholdException error = abandon(hostId, reason);
		if (this.sink != null) {
			this.sink.error(error);
		}
	}

	/**
	 * Abandons the message, which is then no longer written.
	 * @param hostId the host id of the peer
	 * @param reason the reason
	 * @return the error, whose run status is NO if the message was not written
	 */
	FescueholdException abandon(String hostId, String reason) {
		boolean notWritten = this.state.compareAndSet(State.QUEUED, State.ABANDONED)
				|| this.state.get() == State.ABANDONED;
		return notWritten ? unreachable(hostId, reason)
				: outcomeUnknown("host " + hostId + " did not reply: " + reason);
	}

	/**
	 * Returns the error of a message that was not written.
	 * @param hostId the host id of the peer
	 * @param reason the reason
	 * @return the error
	 */
	static FescueholdException unreachable(String hostId, String reason) {
		return FescueholdException.withMessage(ErrorCode.NO_SERVER, RunStatus.NO, 0,
				"Host " + hostId + " cannot be reached: " + reason + "; check the host and its peer address");
	}

	/**
	 * Returns the error of a message whose effect is unknown.
	 * @param reason the reason
	 * @return the error
	 */
	static FescueholdException outcomeUnknown(String reason) {
		return FescueholdException.withMessage(ErrorCode.OUTCOME_UNKNOWN, RunStatus.UNKNOWN, 0,
				ErrorCode.OUTCOME_UNKNOWN.message(reason));
	}

	void succeed(PeerMessage reply) {
		if (reply != null) {
			this.sink.success(reply);
		}
		else {
			this.sink.success();
		}
	}

	void fail(FescueholdException error) {
		this.sink.error(error);
	}

	/** The state of a message. */
	private enum State {

		QUEUED, WRITTEN, ABANDONED

	}

}
