package io.fescuehold.it.request;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

import io.fescuehold.client.RunStatus;
import io.fescuehold.it.harness.Eventually;
import io.fescuehold.standin.modelserver.ModelFaults;
import io.fescuehold.standin.proxy.Direction;
import io.fescuehold.standin.proxy.FaultProxy;
import io.fescuehold.standin.proxy.ProxyFault;
import io.fescuehold.standin.service.ServiceFaults;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against wrong, repeated or missing responses and wrong run statuses for every
 * single fault at every step of a request, and for chosen pairs of faults. Prints one row
 * per cell.
 */
@Tag("matrix")
class RequestMatrixTests extends AbstractRequestTests {

	private static final long STALL_LIMIT_MS = 2_000;

	/** The client's time limit of 30 s for a chat plus the time to end it. */
	private static final Duration CHAT_TIMEOUT = Duration.ofSeconds(32);

	/** The client's time limit of 10 s for a call plus the time to end it. */
	private static final Duration CALL_TIMEOUT = Duration.ofSeconds(12);

	private static final Duration STEP_TIMEOUT = Duration.ofSeconds(10);

	private static final String CALL_ROUTER = "r1";

	static Stream<Cell> chatCells() {
		Stream<Cell> pairs = Stream.of(new Cell(Step.MID_STREAM, Fault.KILL, Target.ROUTER, Fault.KILL),
				new Cell(Step.MID_STREAM, Fault.FREEZE, Target.ROUTER, Fault.CUT),
				new Cell(Step.MID_STREAM, Fault.SILENT, Target.ROUTER, Fault.FREEZE));
		return Stream.concat(cells(List.of(Step.MID_STREAM, Step.FIRST_TOKEN, Step.ACCEPT, Step.ENTRY)), pairs);
	}

	static Stream<Cell> callCells() {
		Stream<Cell> pairs = Stream.of(new Cell(Step.RESPONSE, Fault.KILL, Target.ROUTER, Fault.CUT),
				new Cell(Step.DISPATCH, Fault.FREEZE, Target.ROUTER, Fault.KILL));
		return Stream.concat(
				cells(List.of(Step.RESPONSE, Step.DISPATCH, Step.RECORD, Step.RECORD_OF_RESPONSE, Step.ENTRY)), pairs);
	}

	private static Stream<Cell> cells(List<Step> steps) {
		return steps.stream()
			.flatMap((step) -> Arrays.stream(Fault.values())
				.flatMap((fault) -> Arrays.stream(Target.values())
					.map((target) -> new Cell(step, fault, target, null))));
	}

	/**
	 * Guards against a chat stream that is wrong, incomplete or stalled.
	 * @param cell the step and the faults
	 */
	@ParameterizedTest(name = "{0}")
	@MethodSource("chatCells")
	void chat(Cell cell) {
		String chat = "chat-" + cell.toString().replace(' ', '-');
		String router = fleet.routerOf(chat);
		if (cell.step() == Step.ACCEPT) {
			assertThat(StreamRun.start(this.client, chat).await(CHAT_TIMEOUT).complete()).isTrue();
		}
		if (cell.step() == Step.FIRST_TOKEN) {
			RequestFleet.MODEL_SERVERS.forEach((id) -> fleet.setFaults(id,
					new ModelFaults(false, 0, 0, false, false, 700, 0, 0, false, false, 0, 0)));
		}
		if (cell.step() == Step.ENTRY || cell.step() == Step.ACCEPT) {
			cell.inject(router, List.of("m1"));
		}
		StreamRun run = StreamRun.start(this.client, chat);
		if (cell.step() == Step.FIRST_TOKEN) {
			Eventually.isTrue("A caller has connected to the router", STEP_TIMEOUT,
					() -> fleet.callerProxy(router).openConnections() > 0);
			cell.inject(router, List.of("m1"));
		}
		if (cell.step() == Step.MID_STREAM) {
			run.awaitChunks(10);
			cell.inject(router, List.of(fleet.busyModelServer()));
		}
		run.await(CHAT_TIMEOUT);
		boolean complete = run.complete();
		print(cell, (complete) ? "complete" : run.describe(), run.largestGapMs(), "-");
		assertThat(run.isPrefixOfExpected()).as(run.describe()).isTrue();
		assertThat(complete || run.clientFailure() != null).as(run.describe()).isTrue();
		if (cell.secondFault() == null) {
			assertThat(complete).as(run.describe()).isTrue();
			assertThat(run.largestGapMs()).as("largest stall in ms").isLessThan(STALL_LIMIT_MS);
		}
		if (run.clientFailure() != null && run.clientFailure().run() == RunStatus.NO) {
			assertThat(run.chunkCount()).as("chunks of a chat that was not run").isZero();
		}
	}

	/**
	 * Guards against a second execution and a wrong outcome of a non-idempotent call that
	 * is sent through one router and, after the fault, sent again by the client library
	 * with the same key.
	 * @param cell the step and the faults
	 */
	@ParameterizedTest(name = "{0}")
	@MethodSource("callCells")
	void call(Cell cell) {
		String key = "call-" + cell.toString().replace(' ', '-');
		if (cell.step() == Step.ENTRY) {
			cell.inject(CALL_ROUTER, RequestFleet.SERVICE_SERVERS);
		}
		injectDelays(cell.step());
		CompletableFuture<HttpResponse<String>> first = CompletableFuture.supplyAsync(
				() -> fleet.send("POST", "http://" + fleet.callerAddress(CALL_ROUTER) + "/services/orders/parts",
						CallRun.requestBodyText(key), "Fescuehold-Team", RequestFleet.TEAM, "Idempotency-Key", key,
						"Content-Type", "application/json", "Fescuehold-Deadline-Ms", "6000"));
		if (cell.step() != Step.ENTRY) {
			awaitStep(cell.step(), key);
			cell.inject(CALL_ROUTER, RequestFleet.SERVICE_SERVERS);
		}
		releaseConnections(cell);
		CallRun.Outcome retry = CallRun.start(this.client, key).await(CALL_TIMEOUT);
		String run = first
			.handle((answer, ex) -> (ex != null) ? "lost"
					: (answer.statusCode() == 200) ? "complete" : RequestFleet.json(answer).path("run").asText())
			.join();
		long executions = fleet.executionCount(key);
		print(cell, "first " + run + ", again " + ((retry.complete()) ? "complete" : retry.text()), 0,
				Long.toString(executions));
		assertThat(executions).isLessThanOrEqualTo(1);
		assertThat(retry.isConsistentWith(executions)).as("%s with %d executions", retry.text(), executions).isTrue();
		if ("complete".equals(run)) {
			assertThat(first.join().body()).isEqualTo(CallRun.expectedResponse(key));
		}
	}

	private static void injectDelays(Step step) {
		switch (step) {
			case RESPONSE -> fleet.setServiceFaults(ServiceFaults.NONE.withAnswerDelayMs(700));
			case RECORD_OF_RESPONSE -> fleet.setServiceFaults(ServiceFaults.NONE.withAnswerDelayMs(300));
			case DISPATCH -> RequestFleet.SERVICE_SERVERS
				.forEach((id) -> fleet.serverProxy(id).set(new ProxyFault.Hold(Direction.TO_SERVER)));
			case RECORD -> holdPeerTraffic();
			default -> {
			}
		}
	}

	private static void holdPeerTraffic() {
		RequestFleet.ROUTERS.stream().filter((id) -> !id.equals(CALL_ROUTER)).forEach((id) -> {
			fleet.settings().peerProxy(CALL_ROUTER, id).set(new ProxyFault.Hold(Direction.BOTH));
			fleet.settings().peerProxy(id, CALL_ROUTER).set(new ProxyFault.Hold(Direction.BOTH));
		});
	}

	private static void awaitStep(Step step, String key) {
		switch (step) {
			case RECORD -> Eventually.isTrue("A caller has connected to the router", STEP_TIMEOUT,
					() -> fleet.callerProxy(CALL_ROUTER).openConnections() > 0);
			case DISPATCH -> Eventually.isTrue("The router has connected to a service server", STEP_TIMEOUT,
					() -> RequestFleet.SERVICE_SERVERS.stream()
						.anyMatch((id) -> fleet.serverProxy(id).openConnections() > 0));
			case RESPONSE, RECORD_OF_RESPONSE ->
				Eventually.isTrue("The call is executed", STEP_TIMEOUT, () -> fleet.executionCount(key) > 0);
			default -> throw new IllegalArgumentException("Step " + step + " is not a step of a call");
		}
		if (step == Step.RECORD_OF_RESPONSE) {
			holdPeerTraffic();
		}
	}

	private static void releaseConnections(Cell cell) {
		if (cell.step() == Step.DISPATCH && cell.target() == Target.ROUTER) {
			RequestFleet.SERVICE_SERVERS.forEach((id) -> fleet.serverProxy(id).pass());
		}
		fleet.settings().reconnect(CALL_ROUTER);
	}

	private static void print(Cell cell, String outcome, long stallMs, String executions) {
		System.out.printf("| %s | %s | %d | %s |%n", cell, outcome, stallMs, executions);
	}

	/**
	 * The steps of a request.
	 */
	private enum Step {

		ENTRY, ACCEPT, RECORD, DISPATCH, FIRST_TOKEN, MID_STREAM, RESPONSE, RECORD_OF_RESPONSE

	}

	/**
	 * The target of a fault: the router and its connections to callers, or the backend
	 * servers and the connections to them.
	 */
	private enum Target {

		ROUTER, SERVER

	}

	/**
	 * The faults.
	 */
	private enum Fault {

		KILL, FREEZE, CUT, ONE_WAY, SILENT, DELAY, FLAP;

		void inject(String id, FaultProxy proxy) {
			switch (this) {
				case KILL -> fleet.process(id).kill();
				case FREEZE -> fleet.process(id).freeze();
				case CUT -> proxy.cut();
				case ONE_WAY -> proxy.silent(Direction.TO_CLIENT);
				case SILENT -> proxy.silenceExisting();
				case DELAY -> proxy.set(new ProxyFault.Delay(200));
				case FLAP -> {
					for (int i = 0; i < 3; i++) {
						proxy.refuse();
						Eventually.isTrue("The port is bound again", STEP_TIMEOUT, () -> {
							proxy.pass();
							return true;
						});
					}
				}
			}
		}

	}

	/**
	 * A fault at a step.
	 *
	 * @param step the step
	 * @param fault the fault
	 * @param target the target of the fault
	 * @param secondFault an additional fault of the servers at the same time, or null
	 */
	record Cell(Step step, Fault fault, Target target, Fault secondFault) {

		void inject(String router, List<String> servers) {
			if (this.target == Target.ROUTER) {
				this.fault.inject(router, fleet.callerProxy(router));
			}
			else {
				servers.forEach((id) -> this.fault.inject(id, fleet.serverProxy(id)));
			}
			if (this.secondFault != null) {
				servers.forEach((id) -> this.secondFault.inject(id, fleet.serverProxy(id)));
			}
		}

		@Override
		public String toString() {
			return this.step + " " + this.target + " " + this.fault
					+ ((this.secondFault != null) ? " " + this.secondFault : "");
		}

	}

}
