package io.fescuehold.runtime.transport;

import java.util.concurrent.atomic.AtomicReference;

import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.error.RunStatus;
import io.fescuehold.core.port.PeerMessage;
import reactor.core.publisher.MonoSink;

/**
 * A message on its way to a peer. A request knows whether it was written, so that a
 * failure before writing proves that the peer has not received it.
 */
final class Outgoing {

	private final AtomicReference<Stage> stage = new AtomicReference<>(Stage.QUEUED);

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
	Outgoing(long correlation, byte[] body, String group, MonoSink<PeerMessage> sink) {
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
	 * @return whether it may be written, which it may not after it was given up
	 */
	boolean startWriting(FrameChannel channel) {
		this.writtenTo = channel;
		return this.stage.compareAndSet(Stage.QUEUED, Stage.WRITTEN);
	}

	/**
	 * Tells whether the message was written to a connection.
	 * @param channel the connection
	 * @return whether it was
	 */
	boolean isWrittenTo(FrameChannel channel) {
		return this.stage.get() == Stage.WRITTEN && this.writtenTo == channel;
	}

	/**
	 * Gives the message up and fails the request.
	 * @param hostId the host id of the peer
	 * @param reason the reason
	 */
	void fail(String hostId, String reason) {
		FescueholdException error = giveUp(hostId, reason);
		if (this.sink != null) {
			this.sink.error(error);
		}
	}

	/**
	 * Gives the message up.
	 * @param hostId the host id of the peer
	 * @param reason the reason
	 * @return the error, whose run status is NO if the message was not written
	 */
	FescueholdException giveUp(String hostId, String reason) {
		boolean unwritten = this.stage.compareAndSet(Stage.QUEUED, Stage.GIVEN_UP)
				|| this.stage.get() == Stage.GIVEN_UP;
		return unwritten ? unreachable(hostId, reason) : lost("host " + hostId + " did not reply: " + reason);
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
	static FescueholdException lost(String reason) {
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

	void failWith(FescueholdException error) {
		this.sink.error(error);
	}

	/** How far a message has come. */
	private enum Stage {

		QUEUED, WRITTEN, GIVEN_UP

	}

}
