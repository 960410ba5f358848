package io.fescuehold.client;

import java.time.Duration;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against non-idempotent calls that run twice, and against calls that are wrongly
 * reported as not run.
 */
class FescueholdClientServiceTests {

	private static final Duration LIMIT = Duration.ofSeconds(20);

	private static final ServiceRequest ORDER = ServiceRequest.post("depot", "/orders", "{}".getBytes(), "key-1");

	private final ScriptedRouter first = new ScriptedRouter();

	private final ScriptedRouter second = new ScriptedRouter();

	private final FescueholdClient client = FescueholdClient.builder()
		.entry(this.first.withRouters(this.first, this.second).address())
		.team("team-1")
		.answerLimitMs(1_500)
		.serviceTimeoutMs(10_000)
		.build();

	@BeforeAll
	static void loadClasses() {
		ScriptedRouter.warmUp();
	}

	@AfterEach
	void close() {
		this.client.close();
		this.first.close();
		this.second.close();
	}

	private FescueholdClientException failure(ServiceRequest request) {
		return assertThatExceptionOfType(FescueholdClientException.class)
			.isThrownBy(() -> this.client.call(request).block(LIMIT))
			.actual();
	}

	/** Guards against a new key after a lost answer, which would run the call twice. */
	@Test
	void lostAnswerIsAskedForWithTheSameKey() {
		this.first.then(ScriptedRouter.drop());
		this.second.then(ScriptedRouter.answer("{\"order\":1}"));
		ServiceAnswer answer = this.client.call(ORDER).block(LIMIT);
		assertThat(answer.text()).isEqualTo("{\"order\":1}");
		assertThat(this.first.received().getFirst().header("Idempotency-Key")).isEqualTo("key-1");
		assertThat(this.second.received().getFirst().header("Idempotency-Key")).isEqualTo("key-1");
	}

	/** Guards against a call without a key, which no router can run at most once. */
	@Test
	void generatedKeyIsSharedByAllAttempts() {
		this.first.then(ScriptedRouter.silent());
		this.second.then(ScriptedRouter.answer("{}"));
		this.client.call(ServiceRequest.post("depot", "/orders", "{}".getBytes(), null)).block(LIMIT);
		String key = this.first.received().getFirst().header("Idempotency-Key");
		assertThat(key).isNotEmpty().isEqualTo(this.second.received().getFirst().header("Idempotency-Key"));
	}

	/**
	 * Guards against a call that fails without a retry although it was certainly not run.
	 */
	@Test
	void callThatWasNotRunIsRetriedAfterRetryAfter() {
		this.first.then(ScriptedRouter.problem(503, "NO_QUORUM", "no", "1"));
		this.second.then(ScriptedRouter.answer("{}"));
		long startNanos = System.nanoTime();
		assertThat(this.client.call(ORDER).block(LIMIT).attempts()).isEqualTo(2);
		assertThat(Duration.ofNanos(System.nanoTime() - startNanos)).isGreaterThan(Duration.ofMillis(950));
	}

	/**
	 * Guards against a problem document of the service that counts as the router's
	 * statement that the call has not run.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 400, 408, 421, 429, 502, 503 })
	void problemDocumentOfTheServiceIsItsAnswer(int status) {
		for (String run : new String[] { "no", "yes", "unknown" }) {
			this.first.then(ScriptedRouter.problemOfService(status, run));
			ServiceAnswer answer = this.client
				.call(ServiceRequest.post("depot", "/orders", "{}".getBytes(), "key-" + run))
				.block(LIMIT);
			assertThat(answer.status()).isEqualTo(status);
			assertThat(answer.text()).contains("DEPOT_FULL");
			assertThat(answer.attempts()).isEqualTo(1);
		}
	}

	/** Guards against an unknown call that is reported as not run or run again. */
	@Test
	void unknownCallIsAskedForAgainAndThenReported() {
		for (int attempt = 0; attempt < 3; attempt++) {
			this.first.then(ScriptedRouter.problem(502, "CALL_UNKNOWN", "unknown", null));
			this.second.then(ScriptedRouter.problem(502, "CALL_UNKNOWN", "unknown", null));
		}
		FescueholdClientException ex = failure(ORDER);
		assertThat(ex.run()).isEqualTo(RunStatus.UNKNOWN);
		assertThat(ex.code()).isEqualTo("CALL_UNKNOWN");
		assertThat(this.first.received().size() + this.second.received().size()).isEqualTo(5);
		assertThat(this.second.received())
			.allSatisfy((request) -> assertThat(request.header("Idempotency-Key")).isEqualTo("key-1"));
	}

	/**
	 * Guards against a known outcome that is lost because an earlier attempt's was
	 * unknown.
	 */
	@Test
	void outcomeThatBecomesKnownIsReturned() {
		this.first.then(ScriptedRouter.problem(502, "CALL_UNKNOWN", "unknown", null));
		this.second.then(ScriptedRouter.answer("{\"order\":7}"));
		assertThat(this.client.call(ORDER).block(LIMIT).text()).isEqualTo("{\"order\":7}");
	}

	/** Guards against a call reported as not run when an earlier attempt may have run. */
	@Test
	void notRunAfterALostAttemptIsReportedAsUnknown() {
		this.first.then(ScriptedRouter.drop());
		this.second.then(ScriptedRouter.problem(422, "KEY_REUSED", "no", null));
		FescueholdClientException ex = failure(ORDER);
		assertThat(ex.run()).isEqualTo(RunStatus.UNKNOWN);
		assertThat(ex.code()).isEqualTo("KEY_REUSED");
	}

	/** Guards against a repeat of a call that was run and failed. */
	@Test
	void callThatWasRunIsNotRepeated() {
		this.first.then(ScriptedRouter.problem(502, "SERVER_FAILED", "yes", "1"));
		assertThat(failure(ORDER).run()).isEqualTo(RunStatus.YES);
		assertThat(this.second.received()).isEmpty();
	}

	/** Guards against a call in progress that is treated as lost. */
	@Test
	void callInProgressIsAwaited() {
		this.first.then(ScriptedRouter.problem(409, "CALL_IN_PROGRESS", "unknown", "1"));
		this.second.then(ScriptedRouter.answer("{\"order\":8}"));
		assertThat(this.client.call(ORDER).block(LIMIT).text()).isEqualTo("{\"order\":8}");
	}

	/**
	 * Guards against an error response of the service that is treated as a router's
	 * error.
	 */
	@Test
	void failureOfTheServiceIsPassedOn() {
		this.first.then((response) -> response.status(500).sendString(reactor.core.publisher.Mono.just("broken")));
		ServiceAnswer answer = this.client.call(ServiceRequest.get("depot", "/stock?part=1")).block(LIMIT);
		assertThat(answer.status()).isEqualTo(500);
		assertThat(answer.text()).isEqualTo("broken");
		assertThat(this.first.received().getFirst().uri()).isEqualTo("/services/depot/stock?part=1");
	}

	/** Guards against a call reported as unknown although nothing was ever sent. */
	@Test
	void callThatReachesNoRouterWasNotRun() {
		this.first.withRouters(this.second);
		this.second.close();
		FescueholdClientException ex = failure(ORDER.withTimeoutMs(15_000));
		assertThat(ex.code()).isEqualTo(FescueholdClientException.NO_ROUTER);
		assertThat(ex.run()).isEqualTo(RunStatus.NO);
	}

}
