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
 * Guards against wrong, repeated, untrue or hanging answers for every single fault at
 * every step of a request, and for chosen pairs of faults. Prints one row per cell.
 */
@Tag("matrix")
class RequestMatrixTests extends AbstractRequestTests {

	private static final long STALL_LIMIT_MS = 2_000;

	/** The time limit of chats of the client, plus its end. */
	private static final Duration CHAT_LIMIT = Duration.ofSeconds(32);

	/** The time limit of calls of the client, plus its end. */
	private static final Duration CALL_LIMIT = Duration.ofSeconds(12);

	private static final Duration STEP_LIMIT = Duration.ofSeconds(10);

	private static final String CALL_ROUTER = "r1";

	static Stream<Cell> chatCells() {
		Stream<Cell> pairs = Stream.of(new Cell(Step.MID_STREAM, Fault.KILL, Part.ROUTER, Fault.KILL),
				new Cell(Step.MID_STREAM, Fault.FREEZE, Part.ROUTER, Fault.CUT),
				new Cell(Step.MID_STREAM, Fault.SILENT, Part.ROUTER, Fault.FREEZE));
		return Stream.concat(cells(List.of(Step.MID_STREAM, Step.FIRST_TOKEN, Step.ACCEPT, Step.ENTRY)), pairs);
	}

	static Stream<Cell> callCells() {
		Stream<Cell> pairs = Stream.of(new Cell(Step.RESPONSE, Fault.KILL, Part.ROUTER, Fault.CUT),
				new Cell(Step.DISPATCH, Fault.FREEZE, Part.ROUTER, Fault.KILL));
		return Stream.concat(
				cells(List.of(Step.RESPONSE, Step.DISPATCH, Step.RECORD, Step.RECORD_OF_RESPONSE, Step.ENTRY)), pairs);
	}

	private static Stream<Cell> cells(List<Step> steps) {
		return steps.stream()
			.flatMap((step) -> Arrays.stream(Fault.values())
				.flatMap((fault) -> Arrays.stream(Part.values()).map((part) -> new Cell(step, fault, part, null))));
	}

	/**
	 * Guards the stream of a chat.
	 * @param cell the fault and the step
	 */
	@ParameterizedTest(name = "{0}")
	@MethodSource("chatCells")
	void chat(Cell cell) {
		String chat = "chat-" + cell.toString().replace(' ', '-');
		String router = fleet.routerOf(chat);
		if (cell.step() == Step.ACCEPT) {
			assertThat(StreamRun.start(this.client, chat).await(CHAT_LIMIT).complete()).isTrue();
		}
		if (cell.step() == Step.FIRST_TOKEN) {
			RequestFleet.MODEL_SERVERS.forEach((id) -> fleet.faults(id,
					new ModelFaults(false, 0, 0, false, false, 700, 0, 0, false, false, 0, 0)));
		}
		if (cell.step() == Step.ENTRY || cell.step() == Step.ACCEPT) {
			cell.inject(router, List.of("m1"));
		}
		StreamRun run = StreamRun.start(this.client, chat);
		if (cell.step() == Step.FIRST_TOKEN) {
			Eventually.isTrue("The router has the request", STEP_LIMIT,
					() -> fleet.callers(router).openConnections() > 0);
			cell.inject(router, List.of("m1"));
		}
		if (cell.step() == Step.MID_STREAM) {
			run.awaitPieces(10);
			cell.inject(router, List.of(fleet.busyModelServer()));
		}
		run.await(CHAT_LIMIT);
		boolean whole = run.complete();
		print(cell, (whole) ? "complete" : run.describe(), run.largestGapMs(), "-");
		assertThat(run.prefix()).as(run.describe()).isTrue();
		assertThat(whole || run.refusal() != null).as(run.describe()).isTrue();
		if (cell.second() == null) {
			assertThat(whole).as(run.describe()).isTrue();
			assertThat(run.largestGapMs()).as("largest stall in ms").isLessThan(STALL_LIMIT_MS);
		}
		if (run.refusal() != null && run.refusal().run() == RunStatus.NO) {
			assertThat(run.pieces()).as("pieces of a chat that was not run").isZero();
		}
	}

	/**
	 * Guards a non-idempotent call that is asked for at one router and, after the fault,
	 * again with the same key by the client library.
	 * @param cell the fault and the step
	 */
	@ParameterizedTest(name = "{0}")
	@MethodSource("callCells")
	void call(Cell cell) {
		String key = "call-" + cell.toString().replace(' ', '-');
		if (cell.step() == Step.ENTRY) {
			cell.inject(CALL_ROUTER, RequestFleet.SERVICE_SERVERS);
		}
		prepare(cell.step());
		CompletableFuture<HttpResponse<String>> first = CompletableFuture.supplyAsync(
				() -> fleet.send("POST", "http://" + fleet.callerAddress(CALL_ROUTER) + "/services/orders/parts",
						CallRun.bodyText(key), "Fescuehold-Team", RequestFleet.TEAM, "Idempotency-Key", key,
						"Content-Type", "application/json", "Fescuehold-Deadline-Ms", "6000"));
		if (cell.step() != Step.ENTRY) {
			await(cell.step(), key);
			cell.inject(CALL_ROUTER, RequestFleet.SERVICE_SERVERS);
		}
		release(cell);
		CallRun.Outcome again = CallRun.start(this.client, key).await(CALL_LIMIT);
		String run = first
			.handle((answer, ex) -> (ex != null) ? "lost"
					: (answer.statusCode() == 200) ? "complete" : RequestFleet.json(answer).path("run").asText())
			.join();
		long executions = fleet.executions(key);
		print(cell, "first " + run + ", again " + ((again.complete()) ? "complete" : again.text()), 0,
				Long.toString(executions));
		assertThat(executions).isLessThanOrEqualTo(1);
		assertThat(again.truthful(executions)).as("%s with %d executions", again.text(), executions).isTrue();
		if ("complete".equals(run)) {
			assertThat(first.join().body()).isEqualTo(CallRun.expected(key));
		}
	}

	private static void prepare(Step step) {
		switch (step) {
			case RESPONSE -> fleet.serviceFaults(ServiceFaults.NONE.withAnswerDelayMs(700));
			case RECORD_OF_RESPONSE -> fleet.serviceFaults(ServiceFaults.NONE.withAnswerDelayMs(300));
			case DISPATCH -> RequestFleet.SERVICE_SERVERS
				.forEach((id) -> fleet.server(id).set(new ProxyFault.Hold(Direction.TO_SERVER)));
			case RECORD -> holdPeers();
			default -> {
			}
		}
	}

	private static void holdPeers() {
		RequestFleet.ROUTERS.stream().filter((id) -> !id.equals(CALL_ROUTER)).forEach((id) -> {
			fleet.settings().peerProxy(CALL_ROUTER, id).set(new ProxyFault.Hold(Direction.BOTH));
			fleet.settings().peerProxy(id, CALL_ROUTER).set(new ProxyFault.Hold(Direction.BOTH));
		});
	}

	private static void await(Step step, String key) {
		switch (step) {
			case RECORD -> Eventually.isTrue("The router has the call", STEP_LIMIT,
					() -> fleet.callers(CALL_ROUTER).openConnections() > 0);
			case DISPATCH ->
				Eventually.isTrue("The call is dispatched", STEP_LIMIT, () -> RequestFleet.SERVICE_SERVERS.stream()
					.anyMatch((id) -> fleet.server(id).openConnections() > 0));
			case RESPONSE, RECORD_OF_RESPONSE ->
				Eventually.isTrue("The call is executed", STEP_LIMIT, () -> fleet.executions(key) > 0);
			default -> throw new IllegalArgumentException("Step " + step + " is not a step of a call");
		}
		if (step == Step.RECORD_OF_RESPONSE) {
			holdPeers();
		}
	}

	private static void release(Cell cell) {
		if (cell.step() == Step.DISPATCH && cell.part() == Part.ROUTER) {
			RequestFleet.SERVICE_SERVERS.forEach((id) -> fleet.server(id).pass());
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
	 * Where a fault hits: the router and its connections to callers, or the backend
	 * servers and the connections to them.
	 */
	private enum Part {

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
						Eventually.isTrue("The port is bound again", STEP_LIMIT, () -> {
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
	 * @param part where it hits
	 * @param second a fault of the servers at the same time, or null
	 */
	record Cell(Step step, Fault fault, Part part, Fault second) {

		void inject(String router, List<String> servers) {
			if (this.part == Part.ROUTER) {
				this.fault.inject(router, fleet.callers(router));
			}
			else {
				servers.forEach((id) -> this.fault.inject(id, fleet.server(id)));
			}
			if (this.second != null) {
				servers.forEach((id) -> this.second.inject(id, fleet.server(id)));
			}
		}

		@Override
		public String toString() {
			return this.step + " " + this.part + " " + this.fault + ((this.second != null) ? " " + this.second : "");
		}

	}

}
