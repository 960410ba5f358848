package io.fescuehold.runtime.gateway;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link AnswerHead}.
 */
class AnswerHeadTests {

	private static final String OWN_ID = "r1";

	private static final String SERVER_ID = "i-1";

	private static AnswerVerdict judge(int status, String requestId, String instanceId, boolean signed, boolean notRun,
			boolean keptConnection) {
		return new AnswerHead(status, requestId, instanceId, signed, notRun, null, null, null, false, null)
			.judge(OWN_ID, SERVER_ID, keptConnection);
	}

	@ParameterizedTest
	@ValueSource(ints = { 100, 200, 202, 299, 302, 400, 404, 409, 500, 502, 504, 599, 999 })
	void onlyASignatureMakesAResponseThatOfTheServer(int status) {
		assertThat(judge(status, OWN_ID, null, false, false, false)).isInstanceOf(AnswerVerdict.Unproven.class);
		assertThat(judge(status, OWN_ID, null, true, false, false)).isInstanceOf(AnswerVerdict.Signed.class);
	}

	@ParameterizedTest
	@ValueSource(ints = { 408, 421, 429, 503 })
	void signedRejectionWithoutTheStatementDoesNotProveThatTheRequestHasNotRun(int status) {
		assertThat(judge(status, OWN_ID, null, false, false, false)).isInstanceOf(AnswerVerdict.Unproven.class);
		for (String instanceId : new String[] { null, SERVER_ID }) {
			assertThat(judge(status, OWN_ID, instanceId, true, false, false))
				.isEqualTo(new AnswerVerdict.UnprovenRejection(status));
		}
		assertThat(judge(status, OWN_ID, SERVER_ID, true, true, false)).isInstanceOf(AnswerVerdict.NotRun.class);
	}

	@ParameterizedTest
	@ValueSource(ints = { 200, 400, 408, 429, 500, 503 })
	void statementThatTheRequestHasNotRunNeedsNoSignature(int status) {
		assertThat(judge(status, OWN_ID, null, false, true, false)).isEqualTo(new AnswerVerdict.NotRun(false));
		assertThat(judge(status, null, null, false, true, false)).isEqualTo(new AnswerVerdict.NotRun(false));
	}

	@Test
	void responseThatMayBelongToAnotherRequestProvesNothing() {
		assertThat(judge(503, "r2", null, false, true, false)).isInstanceOf(AnswerVerdict.Unproven.class);
		assertThat(judge(200, "r2", null, true, false, false)).isInstanceOf(AnswerVerdict.Unproven.class);
		assertThat(judge(200, null, null, true, false, false)).isInstanceOf(AnswerVerdict.Unproven.class);
		assertThat(judge(503, null, null, false, true, true)).isInstanceOf(AnswerVerdict.Unproven.class);
	}

	@Test
	void otherInstanceIsRecognisedByItsId() {
		assertThat(judge(421, OWN_ID, "i-2", false, false, false)).isEqualTo(new AnswerVerdict.NotRun(true));
		assertThat(judge(421, OWN_ID, null, false, true, false)).isEqualTo(new AnswerVerdict.NotRun(true));
		assertThat(judge(421, OWN_ID, SERVER_ID, false, false, false)).isInstanceOf(AnswerVerdict.Unproven.class);
		assertThat(judge(503, OWN_ID, "i-2", false, false, false)).isInstanceOf(AnswerVerdict.Unproven.class);
	}

}
