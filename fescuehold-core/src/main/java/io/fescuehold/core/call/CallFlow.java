package io.fescuehold.core.call;

import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.RunStatus;
import io.fescuehold.core.state.CallKey;
import io.fescuehold.core.state.CallOutcome;
import io.fescuehold.core.state.StateCommand;
import io.fescuehold.core.state.StoredAnswer;

/**
 * One grant of a call that runs at most once. Events go in, the next step comes out: the
 * record of the call is begun before its dispatch, the dispatch happens only within a
 * window, and the response is recorded before it is given.
 */
public final class CallFlow {

	private static final long RETRY_AFTER_MS = 1_000;

	private final CallKey key;

	private final String service;

	private final long dispatchWindowMs;

	private State state = State.NEW;

	private long beginSentAtMs;

	private long fencingNumber;

	private CallStep afterRecord;

	/**
	 * Creates the flow of a call.
	 * @param key the key of the call
	 * @param service the name of the service
	 * @param dispatchWindowMs how long after the begin was sent the call may be
	 * dispatched, in milliseconds
	 */
	public CallFlow(CallKey key, String service, long dispatchWindowMs) {
		this.key = key;
		this.service = service;
		this.dispatchWindowMs = dispatchWindowMs;
	}

	/**
	 * Notes that the begin is sent now.
	 * @param nowMs the time in milliseconds
	 */
	public void beginSent(long nowMs) {
		move(State.NEW, State.BEGIN_SENT);
		this.beginSentAtMs = nowMs;
	}

	/**
	 * Notes the outcome of the begin.
	 * @param outcome the outcome
	 * @param nowMs the time in milliseconds
	 * @return the next step
	 */
	public CallStep beginAnswered(CallOutcome outcome, long nowMs) {
		move(State.BEGIN_SENT, State.ENDED);
		return switch (outcome) {
			case CallOutcome.Granted granted -> granted(granted.fencingNumber(), nowMs);
			case CallOutcome.Completed completed -> stored(completed.answer());
			// The record may stay begun for long after the call's deadline, but most
			// calls end within a second.
			case CallOutcome.InProgress running -> new CallStep.Refuse(ErrorCode.CALL_IN_PROGRESS, RunStatus.UNKNOWN,
					Math.min(running.retryAfterMs(), RETRY_AFTER_MS), this.key.idempotencyKey());
			case CallOutcome.Unknown() -> unknown();
			case CallOutcome.DigestMismatch() ->
				new CallStep.Refuse(ErrorCode.KEY_REUSED, RunStatus.NO, 0, this.key.idempotencyKey());
			case CallOutcome.StoreFull full -> new CallStep.Refuse(ErrorCode.CALL_STORE_FULL, RunStatus.NO,
					full.retryAfterMs(), String.valueOf(full.limit()));
			case CallOutcome.NotOwner() ->
				new CallStep.Refuse(ErrorCode.NOT_OWNER, RunStatus.NO, RETRY_AFTER_MS, this.key.team());
		};
	}

	/**
	 * Notes that the begin failed or that no outcome arrived in time. Nothing was
	 * dispatched.
	 * @param share the share whose replicas were asked
	 * @return the next step
	 */
	public CallStep beginFailed(String share) {
		move(State.BEGIN_SENT, State.ENDED);
		return new CallStep.Refuse(ErrorCode.NO_QUORUM, RunStatus.NO, RETRY_AFTER_MS, share);
	}

	private CallStep granted(long number, long nowMs) {
		this.fencingNumber = number;
		this.state = State.GRANTED;
		return (mayDispatch(nowMs)) ? new CallStep.Dispatch(number) : notSent();
	}

	private CallStep stored(StoredAnswer answer) {
		return (answer.truncated())
				? new CallStep.Refuse(ErrorCode.CALL_ANSWER_NOT_KEPT, RunStatus.YES, 0, String.valueOf(answer.status()))
				: new CallStep.Respond(answer);
	}

	/**
	 * Tells whether the call may still be dispatched.
	 * @param nowMs the time in milliseconds
	 * @return whether the call is granted, not yet dispatched and within its window
	 */
	public boolean mayDispatch(long nowMs) {
		long elapsedMs = nowMs - this.beginSentAtMs;
		return this.state == State.GRANTED && elapsedMs >= 0 && elapsedMs <= this.dispatchWindowMs;
	}

	/**
	 * Notes that the first byte is about to be sent.
	 */
	public void dispatched() {
		move(State.GRANTED, State.DISPATCHED);
	}

	/**
	 * Tells whether a byte may have been sent.
	 * @return whether the call is dispatched and has not ended
	 */
	public boolean isDispatched() {
		return this.state == State.DISPATCHED;
	}

	/**
	 * Notes that the call ends without a byte sent, which proves that it was not run.
	 * @return the next step
	 */
	public CallStep notSent() {
		move(State.GRANTED, State.RECORDING);
		return recordNotRun();
	}

	/**
	 * Notes that a server that checks fencing numbers refused the number of this call,
	 * which proves that the call was not run under it.
	 * @return the next step
	 */
	public CallStep fencedOff() {
		move(State.DISPATCHED, State.RECORDING);
		return recordNotRun();
	}

	private CallStep recordNotRun() {
		this.afterRecord = new CallStep.BeginAgain(notRun());
		return new CallStep.Record(new StateCommand.MarkNotRun(this.key, this.fencingNumber, 0));
	}

	/**
	 * Notes that the response has arrived.
	 * @param answer the whole response
	 * @param maxStoredBytes the size at most of a body that is stored
	 * @return the next step
	 */
	public CallStep answered(StoredAnswer answer, int maxStoredBytes) {
		move(State.DISPATCHED, State.RECORDING);
		this.afterRecord = new CallStep.Respond(answer);
		StoredAnswer kept = (answer.body().length <= maxStoredBytes) ? answer
				: new StoredAnswer(answer.status(), answer.headers(), new byte[0], true);
		return new CallStep.Record(new StateCommand.CompleteCall(this.key, this.fencingNumber, kept, 0));
	}

	/**
	 * Notes that the connection was lost, went silent or broke the protocol after sending
	 * began.
	 * @return the next step
	 */
	public CallStep lost() {
		move(State.DISPATCHED, State.RECORDING);
		this.afterRecord = unknown();
		return new CallStep.Record(new StateCommand.MarkUnknown(this.key, this.fencingNumber, 0));
	}

	/**
	 * Notes that the end of the call is recorded.
	 * @return the next step
	 */
	public CallStep recorded() {
		move(State.RECORDING, State.ENDED);
		return this.afterRecord;
	}

	/**
	 * Notes that the end of the call could not be recorded in time. The caller is told
	 * the truth anyway, but the call is not begun again.
	 * @return the next step
	 */
	public CallStep notRecorded() {
		move(State.RECORDING, State.ENDED);
		return (this.afterRecord instanceof CallStep.BeginAgain again) ? again.otherwise() : this.afterRecord;
	}

	private CallStep.Refuse notRun() {
		return new CallStep.Refuse(ErrorCode.NO_SERVER, RunStatus.NO, RETRY_AFTER_MS, this.service);
	}

	private CallStep.Refuse unknown() {
		return new CallStep.Refuse(ErrorCode.CALL_UNKNOWN, RunStatus.UNKNOWN, 0, this.key.idempotencyKey());
	}

	private void move(State from, State to) {
		if (this.state != from) {
			throw new IllegalStateException(
					"Call of " + this.service + " is " + this.state + " but must be " + from + " to become " + to);
		}
		this.state = to;
	}

	/**
	 * The states of a call.
	 */
	private enum State {

		/** Nothing has happened. */
		NEW,

		/** The begin was sent. */
		BEGIN_SENT,

		/** The call may be dispatched within its window. */
		GRANTED,

		/** A byte may have been sent. */
		DISPATCHED,

		/** The end is being recorded. */
		RECORDING,

		/** The caller receives the response or a refusal. */
		ENDED

	}

}
