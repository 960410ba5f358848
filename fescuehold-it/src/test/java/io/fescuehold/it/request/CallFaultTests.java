package io.fescuehold.it.request;

import java.net.http.HttpResponse;
import java.time.Duration;

import io.fescuehold.it.harness.Eventually;
import io.fescuehold.standin.service.ServiceFaults;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against non-idempotent calls that run twice, hang or end with an untrue run
 * status when a part of the request path fails.
 */
class CallFaultTests extends AbstractRequestTests {

	/** The time limit of calls of the client, plus the end of an attempt. */
	private static final Duration OUTCOME_LIMIT = Duration.ofSeconds(12);

	private HttpResponse<String> ask(String router, String key) {
		return fleet.send("POST",
				"http://" + fleet.callerAddress(router) + "/services/" + RequestFleet.SERVICE + "/parts",
				CallRun.bodyText(key), "Fescuehold-Team", RequestFleet.TEAM, "Idempotency-Key", key, "Content-Type",
				"application/json", "Fescuehold-Deadline-Ms", "8000");
	}

	private static void awaitExecution(String key) {
		Eventually.isTrue("Call " + key + " is executed", Duration.ofSeconds(10), () -> fleet.executions(key) > 0);
	}

	private static void assertTruthful(CallRun run) {
		CallRun.Outcome outcome = run.await(OUTCOME_LIMIT);
		assertThat(outcome.truthful(fleet.executions(run.key())))
			.as("%s with %d executions", outcome.text(), fleet.executions(run.key()))
			.isTrue();
	}

	/** Starts a call through one router whose answer the service holds back. */
	private static java.util.concurrent.CompletableFuture<HttpResponse<String>> slowCall(CallFaultTests test,
			String router, String key) {
		fleet.serviceFaults(ServiceFaults.NONE.withAnswerDelayMs(1_500));
		var call = java.util.concurrent.CompletableFuture.supplyAsync(() -> test.ask(router, key));
		awaitExecution(key);
		return call;
	}

	/** Guards against a second execution after the death of the router that ran it. */
	@Test
	void routerKilledMidCall() {
		var first = slowCall(this, "r1", "killed");
		fleet.process("r1").kill();
		assertThat(first.handle((answer, ex) -> ex).join()).isNotNull();
		CallRun again = CallRun.start(this.client, "killed");
		assertTruthful(again);
		assertThat(fleet.executions("killed")).isEqualTo(1);
	}

	/** Guards against a second execution while the router that runs it is frozen. */
	@Test
	void routerFrozenMidCallAndAskedAgainElsewhere() {
		var first = slowCall(this, "r2", "frozen");
		fleet.process("r2").freeze();
		CallRun again = CallRun.start(this.client, "frozen");
		assertTruthful(again);
		fleet.process("r2").resume();
		assertThat(first.handle((answer, ex) -> (ex != null) || truthfulRaw(answer, "frozen")).join()).isTrue();
		assertThat(fleet.executions("frozen")).isEqualTo(1);
	}

	private static boolean truthfulRaw(HttpResponse<String> answer, String key) {
		return (answer.statusCode() == 200) ? answer.body().equals(CallRun.expected(key))
				: "unknown".equals(RequestFleet.json(answer).path("run").asText());
	}

	/** Guards against a repeated call whose first answer was lost after its execution. */
	@Test
	void serviceExecutesAndDropsTheConnection() {
		fleet.serviceFaults(ServiceFaults.EXECUTE_THEN_DROP);
		HttpResponse<String> first = ask("r1", "dropped");
		assertThat(RequestFleet.json(first).path("run").asText()).as(first.body()).isEqualTo("unknown");
		fleet.serviceFaults(ServiceFaults.NONE);
		HttpResponse<String> second = ask("r2", "dropped");
		assertThat(RequestFleet.json(second).path("run").asText()).as(second.body()).isEqualTo("unknown");
		assertThat(fleet.executions("dropped")).isEqualTo(1);
	}

	/** Guards against a router that takes a connection lost after sending for not run. */
	@Test
	void serviceDropsTheConnectionBeforeExecution() {
		fleet.serviceFaults(ServiceFaults.DROP_BEFORE_EXECUTE);
		HttpResponse<String> first = ask("r1", "early");
		fleet.serviceFaults(ServiceFaults.NONE);
		HttpResponse<String> second = ask("r3", "early");
		assertThat(RequestFleet.json(first).path("run").asText()).as(first.body()).isEqualTo("unknown");
		assertThat(RequestFleet.json(second).path("run").asText()).as(second.body()).isEqualTo("unknown");
		assertThat(fleet.executions("early")).isZero();
	}

	/** Guards against a refused connection that costs the caller its call. */
	@Test
	void refusedServerIsReplacedByAnother() {
		fleet.server("s1").refuse();
		for (int i = 0; i < 4; i++) {
			CallRun run = CallRun.start(this.client, "refused-" + i);
			CallRun.Outcome outcome = run.await(OUTCOME_LIMIT);
			assertThat(outcome.complete()).as(outcome.text()).isTrue();
			assertThat(fleet.executions("refused-" + i)).isEqualTo(1);
		}
	}

	/**
	 * Guards against a silent server that blocks the caller beyond the service's limit.
	 */
	@Test
	void serviceStaysSilentAfterExecution() {
		fleet.serviceFaults(ServiceFaults.SILENT);
		CallRun run = CallRun.start(this.client, "silent");
		assertTruthful(run);
		assertThat(fleet.executions("silent")).isEqualTo(1);
	}

	/** Guards against a second execution when the caller loses its router mid-call. */
	@Test
	void connectionToRouterCutMidCall() {
		fleet.serviceFaults(ServiceFaults.NONE.withAnswerDelayMs(1_000));
		CallRun run = CallRun.start(this.client, "cut");
		awaitExecution("cut");
		RequestFleet.ROUTERS.forEach((router) -> fleet.callers(router).cut());
		CallRun.Outcome outcome = run.await(OUTCOME_LIMIT);
		assertThat(outcome.complete()).as(outcome.text()).isTrue();
		assertThat(fleet.executions("cut")).isEqualTo(1);
	}

	/** Guards against calls without a majority, and against chats that depend on one. */
	@Test
	void withoutMajorityCallsAreRefusedAndChatsGoOn() {
		fleet.process("r1").kill();
		fleet.process("r2").kill();
		HttpResponse<String> refused = ask("r3", "minority");
		assertThat(refused.statusCode()).isEqualTo(503);
		assertThat(RequestFleet.json(refused).path("run").asText()).as(refused.body()).isEqualTo("no");
		assertThat(refused.headers().firstValue("Retry-After")).isPresent();
		assertThat(fleet.executions("minority")).isZero();
		StreamRun chat = StreamRun.start(this.client, "minority").await(OUTCOME_LIMIT);
		assertThat(chat.complete()).as(chat.describe()).isTrue();
	}

}
