package io.fescuehold.core.call;

import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.RunStatus;
import io.fescuehold.core.state.CallKey;
import io.fescuehold.core.state.CallOutcome;
import io.fescuehold.core.state.StateCommand;
import io.fescuehold.core.state.StoredAnswer;

/**
 * State machine of one grant of a call that runs at most once. Each event returns the
 * next step: the record of the call is begun before its dispatch, the call is dispatched
 * only within a window, and the response is recorded before it is given to the caller.
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
	 * Creates the state machine of a call.
	 * @param key the key of the call
	 * @param service the name of the service
	 * @param dispatchWindowMs the time in milliseconds after sending the begin command in
	 * which the call may be dispatched
	 */
	public CallFlow(CallKey key, String service, long dispatchWindowMs) {
		this.key = key;
		this.service = service;
		this.dispatchWindowMs = dispatchWindowMs;
	}

	/**
	 * Called when the begin command is sent.
	 * @param nowMs the time in milliseconds
	 */
	public void beginSent(long nowMs) {
		transition(State.NEW, State.BEGIN_SENT);
		this.beginSentAtMs = nowMs;
	}

	/**
	 * Called when the begin command was answered.
	 * @param outcome the outcome
	 * @param nowMs the time in milliseconds
	 * @return the next step
	 */
	public CallStep beginAnswered(CallOutcome outcome, long nowMs) {
		transition(State.BEGIN_SENT, State.ENDED);
		return switch (outcome) {
			case CallOutcome.Granted granted -> granted(granted.fencingNumber(), nowMs);
			case CallOutcome.Completed completed -> respondStored(completed.answer());
			// The record may stay in the state BEGUN long after the deadline of the
			// call, but most calls end within a second.
			case CallOutcome.InProgress running -> new CallStep.Refuse(ErrorCode.CALL_IN_PROGRESS, RunStatus.UNKNOWN,
					Math.min(running.retryAfterMs(), RETRY_AFTER_MS), this.key.idempotencyKey());
			case CallOutcome.Unknown() -> refuseUnknown();
			case CallOutcome.DigestMismatch() ->
				new CallStep.Refuse(ErrorCode.KEY_REUSED, RunStatus.NO, 0, this.key.idempotencyKey());
			case CallOutcome.StoreFull full -> new CallStep.Refuse(ErrorCode.CALL_STORE_FULL, RunStatus.NO,
					full.retryAfterMs(), String.valueOf(full.limit()));
			case CallOutcome.NotOwner() ->
				new CallStep.Refuse(ErrorCode.NOT_OWNER, RunStatus.NO, RETRY_AFTER_MS, this.key.team());
		};
	}

	/**
	 * Called when the begin command failed or was not answered in time. Nothing was
	 * dispatched.
	 * @param share the share to whose replicas the command was sent
	 * @return the next step
	 */
	public CallStep beginFailed(String share) {
		transition(State.BEGIN_SENT, State.ENDED);
		return new CallStep.Refuse(ErrorCode.NO_QUORUM, RunStatus.NO, RETRY_AFTER_MS, share);
	}

	private CallStep granted(long grantedNumber, long nowMs) {
		this.fencingNumber = grantedNumber;
		this.state = State.GRANTED;
		return (mayDispatch(nowMs)) ? new CallStep.Dispatch(grantedNumber) : notSent();
	}

	private CallStep respondStored(StoredAnswer answer) {
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
	 * Called right before the first byte is sent to the server.
	 */
	public void dispatched() {
		transition(State.GRANTED, State.DISPATCHED);
	}

	/**
	 * Tells whether a byte may have been sent to the server.
	 * @return whether the call is dispatched and has not ended
	 */
	public boolean isDispatched() {
		return this.state == State.DISPATCHED;
	}

	/**
	 * Called when the call ends before a byte was sent, which proves that it was not run.
	 * @return the next step
	 */
	public CallStep notSent() {
		transition(State.GRANTED, State.RECORDING);
		return recordNotRun();
	}

	/**
	 * Called when a server that checks fencing numbers refused the number of this call,
	 * which proves that the call was not run under it.
	 * @return the next step
	 */
	public CallStep refusedByFencing() {
		transition(State.DISPATCHED, State.RECORDING);
		return recordNotRun();
	}

	private CallStep recordNotRun() {
		this.afterRecord = new CallStep.BeginAgain(refuseNotRun());
		return new CallStep.Record(new StateCommand.MarkNotRun(this.key, this.fencingNumber, 0));
	}

	/**
	 * Called when the whole response was received.
	 * @param answer the whole response
	 * @param maxStoredBytes the maximum size in bytes of a body that is stored
	 * @return the next step
	 */
	public CallStep answered(StoredAnswer answer, int maxStoredBytes) {
		transition(State.DISPATCHED, State.RECORDING);
		this.afterRecord = new CallStep.Respond(answer);
		StoredAnswer stored = (answer.body().length <= maxStoredBytes) ? answer
				: new StoredAnswer(answer.status(), answer.headers(), new byte[0], true);
		return new CallStep.Record(new StateCommand.CompleteCall(this.key, this.fencingNumber, stored, 0));
	}

	/**
	 * Called when the connection was lost, went silent or violated the protocol after
	 * sending began.
	 * @return the next step
	 */
	public CallStep lost() {
		transition(State.DISPATCHED, State.RECORDING);
		this.afterRecord = refuseUnknown();
		return new CallStep.Record(new StateCommand.MarkUnknown(this.key, this.fencingNumber, 0));
	}

	/**
	 * Called when the end of the call was recorded.
	 * @return the next step
	 */
	public CallStep recorded() {
		transition(State.RECORDING, State.ENDED);
		return this.afterRecord;
	}

	/**
	 * Called when the end of the call could not be recorded in time. The caller still
	 * receives the true outcome, but the call is not begun again.
	 * @return the next step
	 */
	public CallStep notRecorded() {
		transition(State.RECORDING, State.ENDED);
		return (this.afterRecord instanceof CallStep.BeginAgain again) ? again.otherwise() : this.afterRecord;
	}

	private CallStep.Refuse refuseNotRun() {
		return new CallStep.Refuse(ErrorCode.NO_SERVER, RunStatus.NO, RETRY_AFTER_MS, this.service);
	}

	private CallStep.Refuse refuseUnknown() {
		return new CallStep.Refuse(ErrorCode.CALL_UNKNOWN, RunStatus.UNKNOWN, 0, this.key.idempotencyKey());
	}

	private void transition(State from, State to) {
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

		/** The begin command was sent. */
		BEGIN_SENT,

		/** The call may be dispatched within its window. */
		GRANTED,

		/** A byte may have been sent to the server. */
		DISPATCHED,

		/** The end of the call is being recorded. */
		RECORDING,

		/** The caller receives the response or a refusal. */
		ENDED

	}

}
