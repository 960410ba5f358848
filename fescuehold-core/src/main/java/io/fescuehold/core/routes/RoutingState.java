package io.fescuehold.core.routes;

import java.util.Arrays;
import java.util.function.Consumer;

import io.fescuehold.core.evacuation.EvacuationTrailer;
import io.fescuehold.core.evacuation.Evacuations;
import io.fescuehold.core.port.ReplicatedStateMachine;

/**
 * The replicated configuration of routes under the policy that the highest number wins: a
 * submission with a higher number takes effect, one with a lower number has none, and one
 * with the number in force must have the same content. The evacuations of failure domains
 * are agreed in the same log.
 */
public final class RoutingState implements ReplicatedStateMachine {

	private final Consumer<RoutingDocument> listener;

	private final Consumer<Evacuations> evacuationListener;

	private volatile RoutingDocument current = RoutingDocument.NONE;

	private volatile Evacuations evacuations = Evacuations.NONE;

	/**
	 * Creates an empty state.
	 * @param listener called by the thread that applies commands with each document that
	 * takes effect
	 */
	public RoutingState(Consumer<RoutingDocument> listener) {
		this(listener, (evacuations) -> {
		});
	}

	/**
	 * Creates an empty state.
	 * @param listener called by the thread that applies commands with each document that
	 * takes effect
	 * @param evacuationListener called by that thread with the evacuations after each
	 * change
	 */
	public RoutingState(Consumer<RoutingDocument> listener, Consumer<Evacuations> evacuationListener) {
		this.listener = listener;
		this.evacuationListener = evacuationListener;
	}

	/**
	 * Returns the document in force.
	 * @return the document, {@link RoutingDocument#NONE} if there is none
	 */
	public RoutingDocument current() {
		return this.current;
	}

	/**
	 * Returns the evacuations in force.
	 * @return the evacuations
	 */
	public Evacuations evacuations() {
		return this.evacuations;
	}

	/**
	 * Determines the outcome of an order without applying it.
	 * @param command the order
	 * @return the outcome: ACCEPTED if applying the order now would change the
	 * evacuations, REPEATED if they are as it demands, CONFLICT if they have changed
	 * since it was given
	 */
	public SubmissionOutcome outcomeOf(EvacuationCommand command) {
		if (this.evacuations.fulfil(command.order())) {
			return SubmissionOutcome.REPEATED;
		}
		return (command.expectedRevision() == this.evacuations.revision()) ? SubmissionOutcome.ACCEPTED
				: SubmissionOutcome.CONFLICT;
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
		if (EvacuationCommand.isIn(document)) {
			return applyEvacuation(index, EvacuationCommand.of(document));
		}
		SubmissionOutcome outcome = outcomeOf(document);
		if (outcome == SubmissionOutcome.ACCEPTED) {
			replace(document);
		}
		return new byte[] { (byte) outcome.ordinal() };
	}

	private byte[] applyEvacuation(long index, EvacuationCommand command) {
		SubmissionOutcome outcome = outcomeOf(command);
		if (outcome == SubmissionOutcome.ACCEPTED) {
			replace(this.evacuations.after(command.order(), index));
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
		return EvacuationTrailer.append(this.current.encode(), this.evacuations);
	}

	@Override
	public void restore(byte[] snapshot) {
		replace(RoutingDocument.decode(EvacuationTrailer.document(snapshot)));
		replace(EvacuationTrailer.evacuations(snapshot));
	}

	private void replace(Evacuations changed) {
		this.evacuations = changed;
		this.evacuationListener.accept(changed);
	}

	private void replace(RoutingDocument document) {
		this.current = document;
		this.listener.accept(document);
	}

}
