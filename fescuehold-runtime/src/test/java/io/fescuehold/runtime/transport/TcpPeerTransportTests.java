package io.fescuehold.runtime.transport;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.error.RunStatus;
import io.fescuehold.core.port.PeerMessage;
import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Hooks;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.core.scheduler.Schedulers;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against lost replies, errors that lose their code, and connections that stay in
 * use although nothing arrives on them any more.
 */
class TcpPeerTransportTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(5);

	private static final TransportOptions.Limits LIMITS = new TransportOptions.Limits(100, 400, 500, 200, 60_000,
			65_536, 100, 1_000_000);

	private final List<TcpPeerTransport> transports = new ArrayList<>();

	private final MetricRegistry metrics = new MetricRegistry();

	@AfterEach
	void close() {
		this.transports.forEach(TcpPeerTransport::close);
	}

	@Test
	void requestReceivesItsReply() {
		TcpPeerTransport a = start("a");
		TcpPeerTransport b = start("b");
		connect(a, b);
		b.onMessage(TestMessage.Request.class,
				(from, request) -> Mono.just(new TestMessage.Reply(from + request.text(), request.shape())));
		PeerMessage reply = a.request("b", new TestMessage.Request("?", new Shape.Round(3)), TIMEOUT).block(TIMEOUT);
		assertThat(reply).isEqualTo(new TestMessage.Reply("a?", new Shape.Round(3)));
		assertThat(this.metrics.counter("transport.sent.TestMessage.bytes").getCount()).isPositive();
	}

	@Test
	void sealedValueWithoutFieldsIsTransmitted() {
		TcpPeerTransport a = start("a");
		TcpPeerTransport b = start("b");
		connect(a, b);
		b.onMessage(TestMessage.Request.class,
				(from, request) -> Mono.just(new TestMessage.Reply("", request.shape())));
		assertThat(a.request("b", new TestMessage.Request("", new Shape.Point()), TIMEOUT).block(TIMEOUT))
			.isEqualTo(new TestMessage.Reply("", new Shape.Point()));
	}

	@Test
	void replyToAPeerThatHasLeftIsNotAnUnhandledError() throws Exception {
		TcpPeerTransport a = start("a");
		TcpPeerTransport b = start("b");
		connect(a, b);
		CountDownLatch asked = new CountDownLatch(1);
		Sinks.One<PeerMessage> answer = Sinks.one();
		CountDownLatch answered = new CountDownLatch(1);
		b.onMessage(TestMessage.Request.class, (from, request) -> {
			asked.countDown();
			return answer.asMono().delayElement(Duration.ofMillis(300)).doFinally((signal) -> answered.countDown());
		});
		List<Throwable> unhandled = new CopyOnWriteArrayList<>();
		Hooks.onErrorDropped(unhandled::add);
		try {
			a.request("b", new TestMessage.Request("", null), TIMEOUT).subscribe((reply) -> {
			}, (error) -> {
			});
			assertThat(asked.await(5, TimeUnit.SECONDS)).isTrue();
			a.close();
			answer.tryEmitValue(new TestMessage.Reply("", null)).orThrow();
			assertThat(answered.await(5, TimeUnit.SECONDS)).isTrue();
			assertThat(unhandled).isEmpty();
		}
		finally {
			Hooks.resetOnErrorDropped();
		}
	}

	@Test
	void handlerErrorArrivesWithItsCode() {
		TcpPeerTransport a = start("a");
		TcpPeerTransport b = start("b");
		connect(a, b);
		b.onMessage(TestMessage.Request.class, (from, request) -> Mono
			.error(FescueholdException.withMessage(ErrorCode.NO_QUORUM, RunStatus.NO, 700, "tarawera")));
		FescueholdException error = failure(a.request("b", new TestMessage.Request("", null), TIMEOUT));
		assertThat(error.code()).isEqualTo(ErrorCode.NO_QUORUM);
		assertThat(error.retryAfterMs()).isEqualTo(700);
		assertThat(error).hasMessageContaining("tarawera");
	}

	@Test
	void requestToAnUnreachablePeerFailsAsNotRun() {
		TcpPeerTransport a = start("a");
		a.setPeer("b", new PeerAddress("127.0.0.1", 1));
		FescueholdException error = failure(a.request("b", new TestMessage.Request("", null), TIMEOUT));
		assertThat(error.run()).isEqualTo(RunStatus.NO);
	}

	@Test
	void silentPeerLeavesTheOutcomeUnknownAndIsReconnected() throws Exception {
		try (ServerSocket silent = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
			CountDownLatch secondConnection = new CountDownLatch(2);
			List<Socket> accepted = new ArrayList<>();
			Thread acceptor = Thread.ofVirtual().start(() -> accept(silent, accepted, secondConnection));
			TcpPeerTransport a = start("a");
			a.setPeer("b", new PeerAddress("127.0.0.1", silent.getLocalPort()));
			long startNanos = System.nanoTime();
			FescueholdException error = failure(a.request("b", new TestMessage.Request("", null), TIMEOUT));
			long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
			assertThat(error.run()).isEqualTo(RunStatus.UNKNOWN);
			assertThat(elapsedMs).isBetween(300L, 1_500L);
			a.send("b", new TestMessage.Request("again", null));
			assertThat(secondConnection.await(5, TimeUnit.SECONDS)).isTrue();
			acceptor.interrupt();
			for (Socket socket : accepted) {
				socket.close();
			}
		}
	}

	@Test
	void silentIncomingConnectionIsClosed() throws Exception {
		TcpPeerTransport a = start("a");
		a.setPeer("b", new PeerAddress("127.0.0.1", 1));
		try (Socket silent = new Socket(InetAddress.getLoopbackAddress(), a.port())) {
			silent.setSoTimeout(3_000);
			byte[] hello = new FrameCodec(new MessageTypes()).encode(new Frame(Frame.HELLO, 0, "b", new byte[0]));
			silent.getOutputStream().write(new byte[] { 0, 0, 0, (byte) hello.length });
			silent.getOutputStream().write(hello);
			assertThat(silent.getInputStream().readAllBytes()).isNotEmpty();
		}
		assertThat(this.metrics.counter("transport.silentConnections").getCount()).isEqualTo(1);
	}

	@Test
	void requestWithoutReplyTimesOutAsUnknown() {
		TcpPeerTransport a = start("a");
		TcpPeerTransport b = start("b");
		connect(a, b);
		b.onMessage(TestMessage.Request.class, (from, request) -> Mono.never());
		FescueholdException error = failure(a.request("b", new TestMessage.Request("", null), Duration.ofMillis(200)));
		assertThat(error.code()).isEqualTo(ErrorCode.OUTCOME_UNKNOWN);
		assertThat(error.run()).isEqualTo(RunStatus.UNKNOWN);
	}

	@Test
	void messageLargerThanAFrameIsRefusedAndTheConnectionStays() {
		TcpPeerTransport a = start("a");
		TcpPeerTransport b = start("b");
		connect(a, b);
		b.onMessage(TestMessage.Request.class, (from, request) -> Mono.just(new TestMessage.Reply("", null)));
		FescueholdException error = failure(
				a.request("b", new TestMessage.Request("x".repeat(LIMITS.maxFrameBytes()), null), TIMEOUT));
		assertThat(error.run()).isEqualTo(RunStatus.NO);
		assertThat(a.request("b", new TestMessage.Request("", null), TIMEOUT).block(TIMEOUT)).isNotNull();
	}

	@Test
	void restartedPeerIsReconnected() {
		TcpPeerTransport a = start("a");
		TcpPeerTransport b = start("b");
		connect(a, b);
		b.onMessage(TestMessage.Request.class, (from, request) -> Mono.empty());
		a.request("b", new TestMessage.Request("", null), TIMEOUT).block(TIMEOUT);
		b.close();
		this.transports.remove(b);
		failure(a.request("b", new TestMessage.Request("", null), Duration.ofMillis(300)));
		TcpPeerTransport restarted = start("b");
		connect(a, restarted);
		restarted.onMessage(TestMessage.Request.class,
				(from, request) -> Mono.just(new TestMessage.Reply("back", null)));
		PeerMessage reply = a.request("b", new TestMessage.Request("", null), TIMEOUT).retry(20).block(TIMEOUT);
		assertThat(reply).isEqualTo(new TestMessage.Reply("back", null));
	}

	@Test
	void messageThatCannotBeReadIsRefusedAndTheConnectionStays() {
		TcpPeerTransport a = start("a");
		TcpPeerTransport b = start("b");
		connect(a, b);
		b.onMessage(TestMessage.Request.class, (from, request) -> Mono.just(new TestMessage.Reply("", null)));
		FescueholdException unknown = failure(a.request("b", new OtherMessage.Unregistered(), TIMEOUT));
		assertThat(unknown.code()).isEqualTo(ErrorCode.NOT_FOUND);
		FescueholdException invalid = failure(a.request("b", new TestMessage.Unreadable(() -> {
		}), TIMEOUT));
		assertThat(invalid.code()).isEqualTo(ErrorCode.BAD_REQUEST);
		assertThat(a.request("b", new TestMessage.Request("", null), TIMEOUT).block(TIMEOUT)).isNotNull();
	}

	@Test
	void requestOfAnUnknownHostFailsWithUnknownOutcome() {
		TcpPeerTransport a = start("a");
		TcpPeerTransport b = start("b");
		a.setPeer("b", new PeerAddress("127.0.0.1", b.port()));
		b.onMessage(TestMessage.Request.class, (from, request) -> Mono.just(new TestMessage.Reply("", null)));
		FescueholdException error = failure(a.request("b", new TestMessage.Request("", null), TIMEOUT));
		assertThat(error.run()).isEqualTo(RunStatus.UNKNOWN);
	}

	private static void accept(ServerSocket server, List<Socket> accepted, CountDownLatch connections) {
		try {
			while (true) {
				accepted.add(server.accept());
				connections.countDown();
			}
		}
		catch (IOException ex) {
			// The test has closed the socket.
		}
	}

	private static FescueholdException failure(Mono<?> request) {
		return Assertions.catchThrowableOfType(FescueholdException.class, () -> request.block(TIMEOUT));
	}

	private TcpPeerTransport start(String hostId) {
		TcpPeerTransport transport = new TcpPeerTransport(
				new TransportOptions(hostId, new PeerAddress("127.0.0.1", 0), Map.of(), LIMITS), this.metrics,
				Schedulers.parallel());
		transport.start().block(TIMEOUT);
		this.transports.add(transport);
		return transport;
	}

	private static void connect(TcpPeerTransport a, TcpPeerTransport b) {
		a.setPeer("b", new PeerAddress("127.0.0.1", b.port()));
		b.setPeer("a", new PeerAddress("127.0.0.1", a.port()));
	}

	/** The messages of these tests. */
	sealed interface TestMessage extends PeerMessage {

		record Request(String text, Shape shape) implements TestMessage {
		}

		record Unreadable(Runnable serialisableButNotDeserialisable) implements TestMessage {
		}

		record Reply(String text, Shape shape) implements TestMessage {
		}

	}

	/** A message group that is not registered at the receiver. */
	sealed interface OtherMessage extends PeerMessage {

		record Unregistered() implements OtherMessage {
		}

	}

	/** A sealed type inside a message. */
	sealed interface Shape {

		record Round(int radius) implements Shape {
		}

		record Point() implements Shape {
		}

	}

}
