package io.fescuehold.core.state;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.TreeMap;

import io.fescuehold.config.ChatRule;
import io.fescuehold.config.ServiceSpec;
import io.fescuehold.config.ShareConfig;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against submissions that overwrite those of another operator, resubmissions that
 * get another outcome, and content that is inconsistent in itself or with another share.
 */
class SubmissionTests {

	private final TestShare share = new TestShare("north");

	@Test
	void resubmissionReturnsTheFirstOutcomeAfterRestart() {
		CommandOutcome first = this.share.submit(TestShare.config("north", 1, "parts"), 1_000);
		this.share.submit(TestShare.config("north", 2, "parts", "repairs"), 2_000);
		this.share.restart();
		assertThat(this.share.submit(TestShare.config("north", 1, "parts"), 9_000)).isEqualTo(first);
		assertThat(this.share.machine().config().number()).isEqualTo(2);
	}

	@Test
	void otherContentUnderAnAcceptedNumberIsAConflictThatNamesTheWinner() {
		StateOutcome.Submitted winner = (StateOutcome.Submitted) this.share
			.submit(TestShare.config("north", 1, "parts"), 1_000);
		this.share.restart();
		assertThat(this.share.submit(TestShare.config("north", 1, "repairs"), 2_000))
			.isEqualTo(new StateOutcome.SubmissionConflict(1, winner.digest(), "mere", 1_000, 1));
		assertThat(this.share.machine().config().teams()).containsOnlyKeys("parts");
	}

	@Test
	void numberThatSkipsOneIsRefused() {
		assertThat(this.share.submit(TestShare.config("north", 2), 0)).isInstanceOfSatisfying(
				StateOutcome.SubmissionRefused.class,
				(refused) -> assertThat(refused.errorCode()).isEqualTo("SUBMISSION_NUMBER"));
		assertThat(this.share.submit(TestShare.config("north", 0), 0))
			.isInstanceOf(StateOutcome.SubmissionRefused.class);
	}

	@Test
	void numberWhoseDigestIsNoLongerRetainedIsTooOld() {
		SubmissionLog log = new SubmissionLog();
		for (long number = 1; number <= SubmissionLog.MAX_RETAINED_SUBMISSIONS + 1; number++) {
			log.accept(new AcceptedSubmission(number, "d" + number, "mere", number));
		}
		assertThat(log.outcomeUnlessNext(1, "d1").orElseThrow()).isInstanceOfSatisfying(
				StateOutcome.SubmissionRefused.class,
				(refused) -> assertThat(refused.errorCode()).isEqualTo("SUBMISSION_TOO_OLD"));
		assertThat(log.outcomeUnlessNext(2, "d2").orElseThrow()).isEqualTo(new StateOutcome.Submitted(2, "d2", 2));
	}

	@Test
	void timeIsMonotonic() {
		this.share.submit(TestShare.config("north", 1), 5_000);
		assertThat(this.share.submit(TestShare.config("north", 2), 1_000)).isInstanceOfSatisfying(
				StateOutcome.Submitted.class, (submitted) -> assertThat(submitted.acceptedAtMs()).isEqualTo(5_000));
	}

	@Test
	void configurationsArePublishedOnceInOrder() {
		this.share.submit(TestShare.config("north", 1, "parts"), 0);
		this.share.observe(TestShare.config("south", 1));
		this.share.submit(TestShare.config("north", 1, "parts"), 0);
		assertThat(this.share.published()).extracting(ShareConfig::number).containsExactly(0L, 1L);
	}

	@Test
	void invalidContentIsRefusedWithItsPointer() {
		byte[] json = "{\"share\":\"north\",\"number\":1,\"teams\":{\"parts\":{\"weight\":0,\"maxTokensPerS\":0}}}"
			.getBytes(StandardCharsets.UTF_8);
		assertRefused(this.share.apply(new StateCommand.Submit(json, "mere", 0)), "/teams/parts/weight");
	}

	@Test
	void inconsistentContentIsRefused() {
		assertRefused(this.share.submit(TestShare.config("south", 1), 0), "/share");
		assertRefused(this.share.submit(TestShare.config("north", 1, TestShare.teams("parts"),
				List.of(TestShare.release("repairs", "south")), List.of()), 0), "/releases/0/id");
		assertRefused(this.share.submit(TestShare.config("north", 1, TestShare.teams("parts"),
				List.of(TestShare.release("parts", "north")), List.of()), 0), "/releases/0/toShare");
		assertRefused(this.share.submit(
				TestShare.config("north", 1, TestShare.teams("parts"),
						List.of(TestShare.release("parts", "south"), TestShare.release("parts", "west")), List.of()),
				0), "/releases/1/id");
		assertRefused(this.share.submit(TestShare.config("north", 1, TestShare.teams("parts"),
				List.of(TestShare.release("parts", "south")), List.of(TestShare.claim("parts", "south", 1))), 0),
				"/claims/0/id");
	}

	@Test
	void serviceWithoutServersIsRefused() {
		TreeMap<String, ServiceSpec> services = new TreeMap<>();
		services.put("depot", new ServiceSpec(1_000, null, null));
		assertRefused(this.share.submit(new ShareConfig("north", 1, null, null, null, null, services, null, null), 0),
				"/services/depot/servers");
	}

	@Test
	void chatRuleOfAnotherShareIsRefused() {
		this.share
			.observe(new ShareConfig("south", 1, null, null, List.of(new ChatRule("fj-")), null, null, null, null));
		assertRefused(this.share
			.submit(new ShareConfig("north", 1, null, null, List.of(new ChatRule("fj-")), null, null, null, null), 0),
				"/chats/0/idPrefix");
	}

	@Test
	void dryRunAnswersLikeASubmissionAndAcceptsNothing() {
		assertThat(this.share.machine().dryRun(TestShare.config("north", 1, "parts"), 0)).isEmpty();
		assertThat(this.share.machine().dryRun(TestShare.config("north", 2, "parts"), 0)).isPresent();
		assertThat(this.share.machine().config().number()).isZero();
	}

	static void assertRefused(CommandOutcome outcome, String pointer) {
		assertThat(outcome).isInstanceOfSatisfying(StateOutcome.SubmissionRefused.class, (refused) -> {
			assertThat(refused.errorCode()).isEqualTo("SUBMISSION_INVALID");
			assertThat(refused.pointer()).isEqualTo(pointer);
			assertThat(refused.message()).contains(";");
		});
	}

}
