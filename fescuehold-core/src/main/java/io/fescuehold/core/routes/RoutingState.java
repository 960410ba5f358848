package io.fescuehold.core.routes;

import java.util.Arrays;
import java.util.function.Consumer;

import io.fescuehold.core.port.ReplicatedStateMachine;

/**
 * The replicated configuration of routes under the policy that the highest number wins: a
 * submission with a higher number takes effect, one with a lower number has none, and one
 * with the number in force must have the same content.
 */
public final class RoutingState implements ReplicatedStateMachine {

	private final Consumer<RoutingDocument> listener;

	private volatile RoutingDocument current = RoutingDocument.NONE;

	/**
	 * Creates an empty state.
	 * @param listener called by the thread that applies commands with each document that
	 * takes effect
	 */
	public RoutingState(Consumer<RoutingDocument> listener) {
		this.listener = listener;
	}

	/**
	 * Returns the document in force.
	 * @return the document, {@link RoutingDocument#NONE} if there is none
	 */
	public RoutingDocument current() {
		return this.current;
	}

	/**
	 * Determines the outcome of a submission without applying it.
	 * @param document the submission
	 * @return the outcome that applying the submission now would have
	 */
	public SubmissionOutcome outcomeOf(RoutingDocument document) {
		if (document.number() > this.current.number()) {
			return SubmissionOutcome.ACCEPTED;
		}
		if (document.number() < this.current.number()) {
			return SubmissionOutcome.OVERTAKEN;
		}
		return Arrays.equals(document.signature(), this.current.signature()) ? SubmissionOutcome.REPEATED
				: SubmissionOutcome.CONFLICT;
	}

	@Override
	public byte[] apply(long index, byte[] command) {
		RoutingDocument document = RoutingDocument.decode(command);
		SubmissionOutcome outcome = outcomeOf(document);
		if (outcome == SubmissionOutcome.ACCEPTED) {
			replace(document);
		}
		return new byte[] { (byte) outcome.ordinal() };
	}

	/**
	 * Decodes the outcome that {@link #apply(long, byte[])} returned.
	 * @param bytes the bytes
	 * @return the outcome
	 */
	public static SubmissionOutcome outcome(byte[] bytes) {
		return SubmissionOutcome.values()[bytes[0]];
	}

	@Override
	public byte[] snapshot() {
		return this.current.encode();
	}

	@Override
	public void restore(byte[] snapshot) {
		replace(RoutingDocument.decode(snapshot));
	}

	private void replace(RoutingDocument document) {
		this.current = document;
		this.listener.accept(document);
	}

}
