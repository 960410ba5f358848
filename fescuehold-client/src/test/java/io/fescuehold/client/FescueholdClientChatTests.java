package io.fescuehold.client;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against answers with gaps or duplicates, and against calls that fail although
 * another router could have served them.
 */
class FescueholdClientChatTests {

	private static final Duration LIMIT = Duration.ofSeconds(10);

	private static final ChatRequest REQUEST = ChatRequest.of("m", "chat-1", ChatMessage.user("hello"));

	private final ScriptedRouter first = new ScriptedRouter();

	private final ScriptedRouter second = new ScriptedRouter();

	private final FescueholdClient client = FescueholdClient.builder()
		.entry(this.first.withRouters(this.first, this.second).address())
		.team("team-1")
		.stallLimitMs(1_000)
		.headerLimitMs(1_500)
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

	private String text() {
		return this.client.chat(REQUEST).collectList().map((pieces) -> String.join("", pieces)).block(LIMIT);
	}

	/** Guards against a complete answer that is altered or loses its token usage. */
	@Test
	void completeAnswerArrivesWithUsage() {
		this.first.then(ScriptedRouter.complete("s1", 1, 2, 3));
		ChatAnswer answer = this.client.chatAnswer(REQUEST).block(LIMIT);
		assertThat(answer).isEqualTo(new ChatAnswer(ScriptedRouter.text(1, 3), 3, "stop", 7, 3, 0));
	}

	/** Guards against a caller that fails because one router refuses connections. */
	@Test
	void refusedConnectionMovesToNextRouter() {
		this.first.then(ScriptedRouter.complete("s1", 1));
		text();
		ScriptedRouter gone = new ScriptedRouter();
		this.second.withRouters(gone, this.second);
		gone.close();
		this.second.then(ScriptedRouter.complete("s2", 1, 2));
		try (FescueholdClient other = FescueholdClient.builder().entry(this.second.address()).team("team-1").build()) {
			assertThat(other.chatAnswer(REQUEST).block(LIMIT).text()).isEqualTo(ScriptedRouter.text(1, 2));
		}
	}

	/** Guards against a client that depends on one entry host. */
	@Test
	void unreachableEntryHostIsSkipped() {
		ScriptedRouter gone = new ScriptedRouter();
		gone.close();
		for (int round = 0; round < 4; round++) {
			this.first.then(ScriptedRouter.complete("s1", 1));
			try (FescueholdClient other = FescueholdClient.builder()
				.entry(gone.address())
				.entry(this.first.address())
				.team("team-1")
				.build()) {
				assertThat(other.chatAnswer(REQUEST).block(LIMIT).tokens()).isEqualTo(1);
			}
		}
	}

	/**
	 * Guards against a lookup on every call, and against the use of expired responses.
	 */
	@Test
	void entryResponseIsKeptWhileItIsValid() throws InterruptedException {
		this.first.validForMs(400);
		for (int call = 0; call < 3; call++) {
			this.first.then(ScriptedRouter.complete("s1", 1));
			text();
		}
		assertThat(this.first.entryRequests()).isEqualTo(1);
		Thread.sleep(500);
		this.first.then(ScriptedRouter.complete("s1", 1));
		text();
		assertThat(this.first.entryRequests()).isEqualTo(2);
	}

	/** Guards against a stream that hangs when its connection stops responding. */
	@Test
	void silentStreamIsResumedAtAnotherRouter() {
		this.first.then(ScriptedRouter.stall("s1", 1, 2));
		this.second.then(ScriptedRouter.complete("s1", 3, 4));
		long startNanos = System.nanoTime();
		assertThat(text()).isEqualTo(ScriptedRouter.text(1, 4));
		assertThat(Duration.ofNanos(System.nanoTime() - startNanos)).isLessThan(Duration.ofSeconds(2));
		ScriptedRouter.Received resume = this.second.received().getFirst();
		assertThat(resume.header("Fescuehold-Stream")).isEqualTo("s1");
		assertThat(resume.header("Last-Event-ID")).isEqualTo("2");
	}

	/** Guards against a stream that is resumed although heartbeats arrive. */
	@Test
	void slowStreamWithHeartbeatsIsNotResumed() {
		this.first
			.then((response) -> response.header("Content-Type", "text/event-stream")
				.header("Fescuehold-Stream", "s1")
				.send(reactor.core.publisher.Flux.interval(Duration.ofMillis(100))
					.take(25)
					.map((tick) -> io.netty.buffer.Unpooled.copiedBuffer((tick < 24) ? ": ping\n\n"
							: "id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"t1 \"}}]}\n\ndata: [DONE]\n\n",
							java.nio.charset.StandardCharsets.UTF_8)),
						(buffer) -> true));
		assertThat(text()).isEqualTo("t1 ");
		assertThat(this.second.received()).isEmpty();
	}

	/** Guards against a stream that ends early and is taken for complete. */
	@Test
	void streamWithoutEndMarkerIsResumed() {
		this.first.then(ScriptedRouter.tokens("s1", 1, 2));
		this.second.then(ScriptedRouter.complete("s1", 3));
		assertThat(text()).isEqualTo(ScriptedRouter.text(1, 3));
	}

	/** Guards against duplicates and gaps when events arrive twice or out of order. */
	@Test
	void repeatedAndReorderedEventsArePutInOrder() {
		this.first.then(ScriptedRouter.complete("s1", 1, 1, 3, 2, 2, 5, 4));
		assertThat(text()).isEqualTo(ScriptedRouter.text(1, 5));
	}

	/** Guards against a gap when a stream ends with a position missing. */
	@Test
	void missingPositionIsFetchedByResume() {
		this.first.then(ScriptedRouter.complete("s1", 1, 2, 4));
		this.second.then(ScriptedRouter.complete("s1", 3, 4));
		assertThat(text()).isEqualTo(ScriptedRouter.text(1, 4));
	}

	/** Guards against a lost answer when the server no longer has the stream. */
	@Test
	void unknownStreamIsContinuedWithTheTextSoFar() {
		this.first.then(ScriptedRouter.cut("s1", 1, 2));
		this.second.then(ScriptedRouter.problem(404, "NOT_FOUND", "no", null))
			.then(ScriptedRouter.complete("s2", 1, 2));
		ChatRequest limited = REQUEST.withMaxTokens(4);
		ChatAnswer answer = this.client.chatAnswer(limited).block(LIMIT);
		assertThat(answer.text()).isEqualTo(ScriptedRouter.text(1, 2) + ScriptedRouter.text(1, 2));
		assertThat(answer.tokens()).isEqualTo(4);
		String body = this.second.received().getLast().body();
		assertThat(body).contains("\"continue_final_message\":true", "\"content\":\"t1 t2 \"", "\"max_tokens\":2");
		assertThat(this.second.received().getLast().header("Fescuehold-Stream")).isNull();
	}

	/**
	 * Guards against resuming a stream that replaced another one in the middle of an
	 * answer. Its positions are not counted from the start of the answer.
	 */
	@Test
	void movedStreamIsContinuedAndNotResumed() {
		this.first.then(ScriptedRouter.moved("s1", "s2", 1, 2));
		this.second.then(ScriptedRouter.complete("s3", 1));
		assertThat(text()).isEqualTo(ScriptedRouter.text(1, 2) + ScriptedRouter.text(1, 1));
		ScriptedRouter.Received next = this.second.received().getFirst();
		assertThat(next.header("Fescuehold-Stream")).isNull();
		assertThat(next.body()).contains("\"continue_final_message\":true");
	}

	/** Guards against lost cache reuse because the hint is not sent back. */
	@Test
	void hintOfLastAnswerIsSentWithNextRequest() {
		this.first.then(ScriptedRouter.complete("s1", 1)).then(ScriptedRouter.complete("s1", 1));
		text();
		text();
		assertThat(this.first.received().getFirst().header("Fescuehold-Chat-Hint")).isNull();
		assertThat(this.first.received().getLast().header("Fescuehold-Chat-Hint")).isEqualTo("server-1;10;20");
	}

	/** Guards against a retry before the time in {@code Retry-After}. */
	@Test
	void retryWaitsForRetryAfter() {
		this.first.then(ScriptedRouter.problem(429, "TEAM_OVER_SHARE", "no", "1"))
			.then(ScriptedRouter.complete("s1", 1));
		long startNanos = System.nanoTime();
		assertThat(text()).isEqualTo("t1 ");
		assertThat(Duration.ofNanos(System.nanoTime() - startNanos)).isGreaterThan(Duration.ofMillis(950));
	}

	/** Guards against a rejection whose code and remedy are lost. */
	@Test
	void rejectionThatARetryDoesNotHelpIsReportedAtOnce() {
		this.first.then(ScriptedRouter.problem(403, "UNKNOWN_TEAM", "no", null));
		assertThatExceptionOfType(FescueholdClientException.class).isThrownBy(this::text).satisfies((ex) -> {
			assertThat(ex.code()).isEqualTo("UNKNOWN_TEAM");
			assertThat(ex.run()).isEqualTo(RunStatus.NO);
			assertThat(ex.remedy()).isEqualTo("wait");
		});
	}

	/** Guards against callers that multiply the load of a failing fleet. */
	@Test
	void retriesStayWithinTheBudget() {
		int calls = 40;
		for (int call = 0; call < calls; call++) {
			this.client.chatAnswer(REQUEST).onErrorResume((ex) -> Mono.empty()).block(LIMIT);
		}
		int sent = this.first.received().size() + this.second.received().size();
		assertThat(sent).isBetween(calls, calls + 10 + calls / 10);
	}

	/** Guards against a call that never ends. */
	@Test
	void deadlineEndsACallThatMakesNoProgress() {
		this.first.then(ScriptedRouter.stall("s1", 1));
		assertThatExceptionOfType(FescueholdClientException.class)
			.isThrownBy(() -> this.client.chatAnswer(REQUEST.withTimeoutMs(200)).block(LIMIT))
			.satisfies((ex) -> assertThat(ex.code()).isEqualTo(FescueholdClientException.DEADLINE_EXCEEDED));
	}

	/** Guards against a connection that goes on receiving after its call has ended. */
	@Test
	void deadlineClosesTheConnectionOfAnAnswerWithoutEnd() throws InterruptedException {
		CountDownLatch closed = new CountDownLatch(1);
		this.first.then((response) -> response.header("Content-Type", "text/event-stream")
			.send(Flux.interval(Duration.ofMillis(20))
				.map((tick) -> Unpooled.copiedBuffer(": wait\n\n", StandardCharsets.UTF_8))
				.cast(ByteBuf.class)
				.doFinally((signal) -> closed.countDown()), (buffer) -> true));
		assertThatExceptionOfType(FescueholdClientException.class)
			.isThrownBy(() -> this.client.chatAnswer(REQUEST.withTimeoutMs(300)).block(LIMIT))
			.satisfies((ex) -> assertThat(ex.code()).isEqualTo(FescueholdClientException.DEADLINE_EXCEEDED));
		assertThat(closed.await(5, TimeUnit.SECONDS)).isTrue();
	}

}
