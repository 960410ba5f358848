package io.fescuehold.core.state;

import java.util.List;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a key that is granted twice and against records that never expire.
 */
class CallRecordsTests {

	private static final long RETENTION_MS = TestShare.RETENTION_S * 1_000;

	private final TestShare share = new TestShare("north");

	@BeforeEach
	void submit() {
		this.share.submit(TestShare.config("north", 1, "parts"), 0);
	}

	@Test
	void keyIsGrantedOnce() {
		assertThat(begin("k", 10)).isInstanceOf(CallOutcome.Granted.class);
		this.share.restart();
		assertThat(begin("k", 20)).isEqualTo(new CallOutcome.InProgress(980));
		assertThat(begin("k", 1_000)).isEqualTo(new CallOutcome.Unknown());
	}

	@Test
	void sameAttemptReceivesTheSameGrantUntilTheDeadline() {
		CommandOutcome granted = this.share.begin("k", "digest", 1_000, 10, "a1");
		assertThat(this.share.begin("k", "digest", 1_000, 20, "a1")).isEqualTo(granted);
		assertThat(this.share.begin("k", "digest", 1_000, 20, "a2")).isInstanceOf(CallOutcome.InProgress.class);
		assertThat(this.share.begin("k", "digest", 1_000, 1_000, "a1")).isEqualTo(new CallOutcome.Unknown());
	}

	@Test
	void completedCallIsAnsweredFromItsRecord() {
		this.share.complete("k", grant("k", 10), "done", 20);
		this.share.restart();
		assertThat(begin("k", 30)).isInstanceOfSatisfying(CallOutcome.Completed.class,
				(completed) -> assertThat(completed.answer().body()).asString().isEqualTo("done"));
		assertThat(this.share.begin("k", "other", 1_000, 30, "")).isEqualTo(new CallOutcome.DigestMismatch());
	}

	@Test
	void answerLargerThanThePolicyAllowsIsMarkedAsTruncated() {
		this.share.complete("k", grant("k", 10), "x".repeat(TestShare.MAX_ANSWER_BYTES + 1), 20);
		assertThat(begin("k", 30)).isInstanceOfSatisfying(CallOutcome.Completed.class, (completed) -> {
			assertThat(completed.answer().truncated()).isTrue();
			assertThat(completed.answer().body()).isEmpty();
		});
	}

	@Test
	void lateAnswerReplacesUnknown() {
		long fencingNumber = grant("k", 10);
		this.share.apply(new StateCommand.MarkUnknown(TestShare.key("k"), fencingNumber, 20));
		assertThat(begin("k", 30)).isEqualTo(new CallOutcome.Unknown());
		this.share.complete("k", fencingNumber, "late", 40);
		assertThat(begin("k", 50)).isInstanceOf(CallOutcome.Completed.class);
		this.share.apply(new StateCommand.MarkUnknown(TestShare.key("k"), fencingNumber, 60));
		assertThat(begin("k", 70)).isInstanceOf(CallOutcome.Completed.class);
	}

	@Test
	void callThatDidNotRunMayBeGrantedAgainUnderAHigherNumber() {
		long first = grant("k", 10);
		this.share.apply(new StateCommand.MarkNotRun(TestShare.key("k"), first, 20));
		long second = grant("k", 30);
		assertThat(second).isGreaterThan(first);
		this.share.complete("k", first, "old", 40);
		this.share.apply(new StateCommand.MarkNotRun(TestShare.key("k"), first, 40));
		assertThat(begin("k", 50)).isInstanceOf(CallOutcome.InProgress.class);
	}

	@Test
	void unknownCallIsNotRemovedByALateNotRunMark() {
		long fencingNumber = grant("k", 10);
		this.share.apply(new StateCommand.MarkUnknown(TestShare.key("k"), fencingNumber, 20));
		this.share.apply(new StateCommand.MarkNotRun(TestShare.key("k"), fencingNumber, 30));
		assertThat(begin("k", 40)).isEqualTo(new CallOutcome.Unknown());
	}

	@Test
	void recordsAreRemovedWhenTheirRetentionEnds() {
		this.share.complete("k", grant("k", 0), "done", 10);
		assertThat(begin("k", RETENTION_MS + 9)).isInstanceOf(CallOutcome.Completed.class);
		assertThat(this.share.lookup("k", RETENTION_MS + 10)).isEqualTo(new StateOutcome.Done());
		assertThat(begin("k", RETENTION_MS + 10)).isInstanceOf(CallOutcome.Granted.class);
	}

	@Test
	void fullStoreReturnsRetryTimeAndKeepsAnsweringKnownKeys() {
		for (int i = 0; i < TestShare.MAX_RECORDS; i++) {
			grant("k" + i, 0);
		}
		assertThat(begin("new", 500))
			.isEqualTo(new CallOutcome.StoreFull(TestShare.MAX_RECORDS, 1_000 + RETENTION_MS - 500));
		assertThat(begin("k0", 500)).isInstanceOf(CallOutcome.InProgress.class);
		assertThat(begin("new", 1_000 + RETENTION_MS)).isInstanceOf(CallOutcome.Granted.class);
	}

	@Test
	void teamOfAnotherShareIsRefusedButItsRecordsStay() {
		this.share.complete("k", grant("k", 10), "done", 20);
		this.share.submit(TestShare.config("north", 2, TestShare.teams("parts"),
				List.of(TestShare.release("parts", "south")), List.of()), 30);
		assertThat(begin("k", 40)).isEqualTo(new CallOutcome.NotOwner());
		assertThat(begin("new", 40)).isEqualTo(new CallOutcome.NotOwner());
		assertThat(this.share.lookup("k", 40)).isInstanceOf(CallOutcome.Completed.class);
		assertThat(this.share.lookup("new", 40)).isEqualTo(new StateOutcome.Done());
	}

	@Test
	void leaderTimeShiftsTheDeadlineOfACall() {
		StateCommand.BeginCall command = new StateCommand.BeginCall(TestShare.key("k"), "d", "depot", "r", 1_500,
				1_000);
		assertThat(command.withTime(90_000))
			.isEqualTo(new StateCommand.BeginCall(TestShare.key("k"), "d", "depot", "r", 90_500, 90_000));
	}

	private CommandOutcome begin(String key, long nowMs) {
		return this.share.begin(key, "digest", 1_000, nowMs, "");
	}

	private long grant(String key, long nowMs) {
		return ((CallOutcome.Granted) begin(key, nowMs)).fencingNumber();
	}

}
