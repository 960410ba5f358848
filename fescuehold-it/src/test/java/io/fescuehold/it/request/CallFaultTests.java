package io.fescuehold.it.request;

import java.net.http.HttpResponse;
import java.time.Duration;

import io.fescuehold.it.harness.Eventually;
import io.fescuehold.standin.service.ServiceFaults;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against non-idempotent calls that run twice, do not end or end with a wrong run
 * status when a part of the request path fails.
 */
class CallFaultTests extends AbstractRequestTests {

	/** The client's time limit of 10 s for a call plus the time to end an attempt. */
	private static final Duration OUTCOME_LIMIT = Duration.ofSeconds(12);

	private HttpResponse<String> sendCall(String router, String key) {
		return fleet.send("POST",
				"http://" + fleet.callerAddress(router) + "/services/" + RequestFleet.SERVICE + "/parts",
				CallRun.requestBodyText(key), "Fescuehold-Team", RequestFleet.TEAM, "Idempotency-Key", key,
				"Content-Type", "application/json", "Fescuehold-Deadline-Ms", "8000");
	}

	private static void awaitExecution(String key) {
		Eventually.isTrue("Call " + key + " is executed", Duration.ofSeconds(10), () -> fleet.executionCount(key) > 0);
	}

	private static void assertConsistentOutcome(CallRun run) {
		CallRun.Outcome outcome = run.await(OUTCOME_LIMIT);
		assertThat(outcome.isConsistentWith(fleet.executionCount(run.key())))
			.as("%s with %d executions", outcome.text(), fleet.executionCount(run.key()))
			.isTrue();
	}

	/** Starts a call through one router while the service delays its response. */
	private static java.util.concurrent.CompletableFuture<HttpResponse<String>> startSlowCall(CallFaultTests test,
			String router, String key) {
		fleet.setServiceFaults(ServiceFaults.NONE.withAnswerDelayMs(1_500));
		var call = java.util.concurrent.CompletableFuture.supplyAsync(() -> test.sendCall(router, key));
		awaitExecution(key);
		return call;
	}

	/** Guards against a second execution after the router of the first was killed. */
	@Test
	void routerKilledMidCall() {
		var first = startSlowCall(this, "r1", "killed");
		fleet.process("r1").kill();
		assertThat(first.handle((answer, ex) -> ex).join()).isNotNull();
		CallRun retry = CallRun.start(this.client, "killed");
		assertConsistentOutcome(retry);
		assertThat(fleet.executionCount("killed")).isEqualTo(1);
	}

	/** Guards against a second execution while the router of the first is frozen. */
	@Test
	void routerFrozenMidCallAndAskedAgainElsewhere() {
		var first = startSlowCall(this, "r2", "frozen");
		fleet.process("r2").freeze();
		CallRun retry = CallRun.start(this.client, "frozen");
		assertConsistentOutcome(retry);
		fleet.process("r2").resume();
		assertThat(first.handle((answer, ex) -> (ex != null) || isConsistent(answer, "frozen")).join()).isTrue();
		assertThat(fleet.executionCount("frozen")).isEqualTo(1);
	}

	private static boolean isConsistent(HttpResponse<String> answer, String key) {
		return (answer.statusCode() == 200) ? answer.body().equals(CallRun.expectedResponse(key))
				: "unknown".equals(RequestFleet.json(answer).path("run").asText());
	}

	/** Guards against a second execution when the first response was lost. */
	@Test
	void serviceExecutesAndDropsTheConnection() {
		fleet.setServiceFaults(ServiceFaults.EXECUTE_THEN_DROP);
		HttpResponse<String> first = sendCall("r1", "dropped");
		assertThat(RequestFleet.json(first).path("run").asText()).as(first.body()).isEqualTo("unknown");
		fleet.setServiceFaults(ServiceFaults.NONE);
		HttpResponse<String> second = sendCall("r2", "dropped");
		assertThat(RequestFleet.json(second).path("run").asText()).as(second.body()).isEqualTo("unknown");
		assertThat(fleet.executionCount("dropped")).isEqualTo(1);
	}

	/**
	 * Guards against the run status "no" for a call whose connection was lost after the
	 * request was sent.
	 */
	@Test
	void serviceDropsTheConnectionBeforeExecution() {
		fleet.setServiceFaults(ServiceFaults.DROP_BEFORE_EXECUTE);
		HttpResponse<String> first = sendCall("r1", "early");
		fleet.setServiceFaults(ServiceFaults.NONE);
		HttpResponse<String> second = sendCall("r3", "early");
		assertThat(RequestFleet.json(first).path("run").asText()).as(first.body()).isEqualTo("unknown");
		assertThat(RequestFleet.json(second).path("run").asText()).as(second.body()).isEqualTo("unknown");
		assertThat(fleet.executionCount("early")).isZero();
	}

	/** Guards against a call that fails because one server refuses connections. */
	@Test
	void refusedServerIsReplacedByAnother() {
		fleet.serverProxy("s1").refuse();
		for (int i = 0; i < 4; i++) {
			CallRun run = CallRun.start(this.client, "refused-" + i);
			CallRun.Outcome outcome = run.await(OUTCOME_LIMIT);
			assertThat(outcome.complete()).as(outcome.text()).isTrue();
			assertThat(fleet.executionCount("refused-" + i)).isEqualTo(1);
		}
	}

	/**
	 * Guards against a silent server that blocks the caller beyond the time limit of the
	 * service.
	 */
	@Test
	void serviceStaysSilentAfterExecution() {
		fleet.setServiceFaults(ServiceFaults.SILENT);
		CallRun run = CallRun.start(this.client, "silent");
		assertConsistentOutcome(run);
		assertThat(fleet.executionCount("silent")).isEqualTo(1);
	}

	/** Guards against a second execution when the connection to the router is reset. */
	@Test
	void connectionToRouterCutMidCall() {
		fleet.setServiceFaults(ServiceFaults.NONE.withAnswerDelayMs(1_000));
		CallRun run = CallRun.start(this.client, "cut");
		awaitExecution("cut");
		RequestFleet.ROUTERS.forEach((router) -> fleet.callerProxy(router).cut());
		CallRun.Outcome outcome = run.await(OUTCOME_LIMIT);
		assertThat(outcome.complete()).as(outcome.text()).isTrue();
		assertThat(fleet.executionCount("cut")).isEqualTo(1);
	}

	/**
	 * Guards against non-idempotent calls that run without a majority, and against chats
	 * that need a majority.
	 */
	@Test
	void withoutMajorityCallsAreRefusedAndChatsGoOn() {
		fleet.process("r1").kill();
		fleet.process("r2").kill();
		HttpResponse<String> refused = sendCall("r3", "minority");
		assertThat(refused.statusCode()).isEqualTo(503);
		assertThat(RequestFleet.json(refused).path("run").asText()).as(refused.body()).isEqualTo("no");
		assertThat(refused.headers().firstValue("Retry-After")).isPresent();
		assertThat(fleet.executionCount("minority")).isZero();
		StreamRun chat = StreamRun.start(this.client, "minority").await(OUTCOME_LIMIT);
		assertThat(chat.complete()).as(chat.describe()).isTrue();
	}

}
