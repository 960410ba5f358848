package io.fescuehold.core.call;

import java.util.Map;

import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.RunStatus;
import io.fescuehold.core.state.CallKey;
import io.fescuehold.core.state.CallOutcome;
import io.fescuehold.core.state.StateCommand;
import io.fescuehold.core.state.StoredAnswer;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalStateException;

/**
 * Tests that a call is dispatched only once and only within its window, and that the run
 * status is true.
 */
class CallFlowTests {

	private static final StoredAnswer ANSWER = new StoredAnswer(201, Map.of(), new byte[10], false);

	private static CallFlow begun() {
		CallFlow flow = new CallFlow(new CallKey("t", "k"), "depot", 2_000);
		flow.beginSent(1_000);
		return flow;
	}

	private static CallFlow dispatched() {
		CallFlow flow = begun();
		flow.beginAnswered(new CallOutcome.Granted(7), 1_100);
		flow.dispatched();
		return flow;
	}

	@Test
	void responseIsRecordedThenGiven() {
		CallFlow flow = begun();
		assertThat(flow.beginAnswered(new CallOutcome.Granted(7), 1_100)).isEqualTo(new CallStep.Dispatch(7));
		flow.dispatched();
		assertThat(flow.answered(ANSWER, 100)).isInstanceOfSatisfying(CallStep.Record.class,
				(step) -> assertThat(step.command())
					.isEqualTo(new StateCommand.CompleteCall(new CallKey("t", "k"), 7, ANSWER, 0)));
		assertThat(flow.recorded()).isEqualTo(new CallStep.Respond(ANSWER));
	}

	@Test
	void windowIsMeasuredFromTheBegin() {
		CallFlow flow = begun();
		assertThat(flow.mayDispatch(1_100)).isFalse();
		flow.beginAnswered(new CallOutcome.Granted(7), 1_100);
		assertThat(flow.mayDispatch(3_000)).isTrue();
		assertThat(flow.mayDispatch(3_001)).isFalse();
		assertThat(flow.mayDispatch(999)).as("a clock that was set back").isFalse();
	}

	@Test
	void grantThatArrivesLateIsMarkedNotRun() {
		CallFlow flow = begun();
		assertThat(flow.beginAnswered(new CallOutcome.Granted(7), 3_001))
			.isEqualTo(new CallStep.Record(new StateCommand.MarkNotRun(new CallKey("t", "k"), 7, 0)));
		assertThat(flow.mayDispatch(1_100)).isFalse();
		assertThat(flow.recorded()).isInstanceOf(CallStep.BeginAgain.class);
	}

	@Test
	void notRunThatIsNotRecordedIsNotBegunAgain() {
		CallFlow flow = begun();
		flow.beginAnswered(new CallOutcome.Granted(7), 1_100);
		flow.notSent();
		assertThat(flow.notRecorded()).isInstanceOfSatisfying(CallStep.Refuse.class,
				(refuse) -> assertThat(refuse.run()).isEqualTo(RunStatus.NO));
	}

	@Test
	void lostCallIsUnknownWhetherRecordedOrNot() {
		CallStep.Refuse unknown = new CallStep.Refuse(ErrorCode.CALL_UNKNOWN, RunStatus.UNKNOWN, 0, "k");
		CallFlow recorded = dispatched();
		assertThat(recorded.lost()).isInstanceOf(CallStep.Record.class);
		assertThat(recorded.recorded()).isEqualTo(unknown);
		CallFlow notRecorded = dispatched();
		notRecorded.lost();
		assertThat(notRecorded.notRecorded()).isEqualTo(unknown);
	}

	@Test
	void dispatchedCallCanNeitherBeDispatchedAgainNorMarkedNotRun() {
		CallFlow flow = dispatched();
		assertThat(flow.mayDispatch(1_100)).isFalse();
		assertThatIllegalStateException().isThrownBy(flow::dispatched);
		assertThatIllegalStateException().isThrownBy(flow::notSent);
	}

	@Test
	void outcomesWithoutAGrantHaveTheRightRunStatus() {
		assertThat(run(new CallOutcome.InProgress(5))).isEqualTo(RunStatus.UNKNOWN);
		assertThat(run(new CallOutcome.Unknown())).isEqualTo(RunStatus.UNKNOWN);
		assertThat(run(new CallOutcome.DigestMismatch())).isEqualTo(RunStatus.NO);
		assertThat(run(new CallOutcome.StoreFull(1, 5))).isEqualTo(RunStatus.NO);
		assertThat(run(new CallOutcome.NotOwner())).isEqualTo(RunStatus.NO);
		assertThat(run(new CallOutcome.Completed(new StoredAnswer(201, Map.of(), new byte[0], true))))
			.isEqualTo(RunStatus.YES);
		assertThat(begun().beginAnswered(new CallOutcome.Completed(ANSWER), 1_100))
			.isEqualTo(new CallStep.Respond(ANSWER));
	}

	private static RunStatus run(CallOutcome outcome) {
		return ((CallStep.Refuse) begun().beginAnswered(outcome, 1_100)).run();
	}

	@Test
	void largeBodyIsRecordedAsTruncatedButGivenWhole() {
		CallFlow flow = dispatched();
		CallStep.Record step = (CallStep.Record) flow.answered(ANSWER, 9);
		StoredAnswer stored = ((StateCommand.CompleteCall) step.command()).answer();
		assertThat(stored.truncated()).isTrue();
		assertThat(stored.body()).isEmpty();
		assertThat(flow.notRecorded()).isEqualTo(new CallStep.Respond(ANSWER));
	}

}
