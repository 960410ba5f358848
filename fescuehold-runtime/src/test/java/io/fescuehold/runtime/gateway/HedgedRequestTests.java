package io.fescuehold.runtime.gateway;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import io.fescuehold.runtime.http.ScriptedServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests second copies of requests that a server has taken and does not answer. Many
 * requests that are answered at once come first, because without their times nothing is
 * slow.
 */
@Timeout(60)
class HedgedRequestTests {

	private static final int ANSWERED_AT_ONCE = 60;

	private final AtomicBoolean stalls = new AtomicBoolean();

	private final AtomicBoolean allStall = new AtomicBoolean();

	private final AtomicInteger stalled = new AtomicInteger();

	private final AtomicInteger closed = new AtomicInteger();

	/** Whether the request that comes while another is not answered fails. */
	private final AtomicBoolean fails = new AtomicBoolean();

	private final CountDownLatch failed = new CountDownLatch(1);

	/**
	 * The first request that arrives after {@link #stalls} was set is not answered, or
	 * only after the next one has failed.
	 */
	private ScriptedServer server() {
		return new ScriptedServer((request, connection) -> {
			if (this.stalls.getAndSet(this.allStall.get())) {
				this.stalled.incrementAndGet();
				if (!this.fails.get()) {
					awaitClose(connection);
				}
				this.failed.await();
				// Until then the gateway has read the error answer.
				Thread.sleep(50);
			}
			else if (this.stalled.get() > 0 && this.fails.getAndSet(false)) {
				connection.send("HTTP/1.1 500 Failed\r\nX-Signature: s\r\nX-Request: "
						+ request.headers().get("X-Request") + "\r\nContent-Length: 0\r\n\r\n");
				this.failed.countDown();
				return;
			}
			boolean stream = request.target().startsWith("/resumable");
			String body = stream ? "id: 1\ndata: a\n\n" : "ok";
			connection.send("HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Request: " + request.headers().get("X-Request")
					+ "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
		});
	}

	private void awaitClose(ScriptedServer.Connection connection) throws Exception {
		connection.awaitEnd();
		this.closed.incrementAndGet();
		throw new IOException("the gateway has closed the connection");
	}

	private void warmUp(TestGateway gateway, String path) {
		for (int request = 0; request < ANSWERED_AT_ONCE; request++) {
			assertThat(gateway.send(path, "w" + request, "").status()).isEqualTo(200);
		}
		this.stalls.set(true);
	}

	private static long started(TestGateway gateway) {
		return gateway.counter("gateway.hedges.started.service");
	}

	@Test
	void lookupThatAServerDoesNotAnswerIsAnsweredByTheSecondCopyAndTheFirstIsCancelled() {
		try (ScriptedServer one = server();
				ScriptedServer two = server();
				TestGateway gateway = TestGateway.hedging(0.1, one, two)) {
			warmUp(gateway, "/lookup/x");
			long copiesBefore = started(gateway);
			TestGateway.Answer answer = gateway.send("/lookup/x", "slow", "");
			assertThat(answer.status()).isEqualTo(200);
			assertThat(answer.body()).isEqualTo("ok");
			assertThat(this.stalled).hasValue(1);
			assertThat(started(gateway)).isEqualTo(copiesBefore + 1);
			assertThat(gateway.counter("gateway.hedges.won.service")).isPositive();
			gateway.awaitNothingInFlight();
			awaitClosed();
		}
	}

	@Test
	void streamWithoutAFirstEventIsAnsweredByTheSecondCopy() {
		try (ScriptedServer one = server();
				ScriptedServer two = server();
				TestGateway gateway = TestGateway.hedging(0.1, one, two)) {
			warmUp(gateway, "/resumable/x");
			long copiesBefore = started(gateway);
			TestGateway.Answer answer = gateway.send("/resumable/x", "slow", "");
			assertThat(answer.body()).isEqualTo("id: 1\ndata: a\n\n");
			assertThat(started(gateway)).isEqualTo(copiesBefore + 1);
			awaitClosed();
		}
	}

	@Test
	void errorAnswerToTheSecondCopyOfALookupLeavesTheFirst() {
		assertThatErrorAnswerLeavesTheFirstCopy("/lookup/x", "ok");
	}

	@Test
	void errorAnswerToTheSecondCopyOfAStreamLeavesTheFirst() {
		assertThatErrorAnswerLeavesTheFirstCopy("/resumable/x", "id: 1\ndata: a\n\n");
	}

	private void assertThatErrorAnswerLeavesTheFirstCopy(String path, String body) {
		try (ScriptedServer one = server();
				ScriptedServer two = server();
				TestGateway gateway = TestGateway.hedging(0.1, one, two)) {
			this.fails.set(true);
			warmUp(gateway, path);
			TestGateway.Answer answer = gateway.send(path, "slow", "");
			assertThat(answer.status()).isEqualTo(200);
			assertThat(answer.body()).isEqualTo(body);
			assertThat(this.failed.getCount()).as("second copies that did not fail").isZero();
			gateway.awaitNothingInFlight();
		}
	}

	@Test
	void bothServersThatDoNotAnswerCountAsSilent() {
		try (ScriptedServer one = server();
				ScriptedServer two = server();
				TestGateway gateway = TestGateway.hedging(0.1, one, two)) {
			warmUp(gateway, "/lookup/x");
			this.allStall.set(true);
			assertThat(gateway.send("/lookup/x", "slow", "").status()).isEqualTo(504);
			assertThat(this.stalled).hasValue(2);
			assertThat(gateway.counter("gateway.serverFailures.service.SILENT")).isEqualTo(2);
			gateway.awaitNothingInFlight();
		}
	}

	// The version that the first copy records may be that of the server that answers it.
	@Test
	void rejectedSecondCopyOfAStreamGoesToNoServerOfAnotherVersion() {
		CountDownLatch rejected = new CountDownLatch(1);
		ScriptedServer.Script first = (request, connection) -> {
			if (this.stalls.getAndSet(false)) {
				this.stalled.incrementAndGet();
				rejected.await();
				// Until then the second copy would have reached another server.
				Thread.sleep(100);
			}
			answer(request, connection, "id: 1\ndata: first\n\n");
		};
		ScriptedServer.Script second = (request, connection) -> {
			if (this.stalled.get() > 0 && rejected.getCount() > 0) {
				connection.send("HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nX-Signature: s\r\nX-Request: "
						+ request.headers().get("X-Request") + "\r\nContent-Length: 0\r\n\r\n");
				rejected.countDown();
				return;
			}
			answer(request, connection, "id: 1\ndata: second\n\n");
		};
		try (ScriptedServer one = new ScriptedServer(first);
				ScriptedServer two = new ScriptedServer(second);
				ScriptedServer three = new ScriptedServer(
						(request, connection) -> answer(request, connection, "id: 1\ndata: third\n\n"));
				TestGateway gateway = TestGateway.hedging(0.1, one, two, three)) {
			warmUp(gateway, "/resumable/x");
			gateway.setVersions("v1", "v1", "v2");
			String body = "";
			for (int request = 0; this.stalls.get(); request++) {
				body = gateway.send("/resumable/x", "s" + request, "").body();
			}
			assertThat(body).isEqualTo("id: 1\ndata: first\n\n");
			assertThat(rejected.getCount()).as("second copies that were not rejected").isZero();
		}
	}

	private static void answer(ScriptedServer.Received request, ScriptedServer.Connection connection, String body)
			throws IOException {
		connection.send("HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Request: " + request.headers().get("X-Request")
				+ "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
	}

	@Test
	void orderNeverHasASecondCopy() {
		try (ScriptedServer one = server();
				ScriptedServer two = server();
				TestGateway gateway = TestGateway.hedging(1, one, two)) {
			warmUp(gateway, "/order/x");
			assertThat(gateway.send("/order/x", "slow", "").status()).isEqualTo(504);
			assertThat(one.received().size() + two.received().size()).isEqualTo(ANSWERED_AT_ONCE + 1);
			assertThat(started(gateway)).isZero();
		}
	}

	@Test
	void nothingIsCopiedWithoutALimit() {
		try (ScriptedServer one = server();
				ScriptedServer two = server();
				TestGateway gateway = TestGateway.hedging(0, one, two)) {
			warmUp(gateway, "/lookup/x");
			assertThat(gateway.send("/lookup/x", "slow", "").status()).isEqualTo(200);
			assertThat(started(gateway)).isZero();
		}
	}

	@Test
	void timesOfAServiceThatWasRemovedAreForgotten() {
		try (ScriptedServer server = server(); TestGateway gateway = TestGateway.hedging(0.1, server)) {
			warmUp(gateway, "/lookup/x");
			assertThat(gateway.dump()).contains("hedgeDelaysMs={service/0=");
			gateway.removeServices();
			assertThat(gateway.dump()).contains("hedgeDelaysMs={}");
		}
	}

	private void awaitClosed() {
		long untilNs = System.nanoTime() + 5_000_000_000L;
		while (this.closed.get() < this.stalled.get()) {
			assertThat(System.nanoTime()).as("the loser is still connected").isLessThan(untilNs);
			Thread.onSpinWait();
		}
	}

}
