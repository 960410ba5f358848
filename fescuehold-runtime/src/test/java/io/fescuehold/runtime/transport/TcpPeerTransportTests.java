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
 * Guards against lost replies, errors without their code, and connections that stay in
 * use after they have gone silent.
 */
class TcpPeerTransportTests {

	private static final Duration WAIT = Duration.ofSeconds(5);

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
		b.onMessage(TestMessage.Ask.class,
				(from, ask) -> Mono.just(new TestMessage.Answer(from + ask.text(), ask.shape())));
		PeerMessage reply = a.request("b", new TestMessage.Ask("?", new Shape.Round(3)), WAIT).block(WAIT);
		assertThat(reply).isEqualTo(new TestMessage.Answer("a?", new Shape.Round(3)));
		assertThat(this.metrics.counter("transport.sent.TestMessage.bytes").getCount()).isPositive();
	}

	@Test
	void sealedValueWithoutFieldsSurvivesTheWire() {
		TcpPeerTransport a = start("a");
		TcpPeerTransport b = start("b");
		connect(a, b);
		b.onMessage(TestMessage.Ask.class, (from, ask) -> Mono.just(new TestMessage.Answer("", ask.shape())));
		assertThat(a.request("b", new TestMessage.Ask("", new Shape.Point()), WAIT).block(WAIT))
			.isEqualTo(new TestMessage.Answer("", new Shape.Point()));
	}

	@Test
	void replyToAPeerThatHasLeftIsNotAnUnhandledError() throws Exception {
		TcpPeerTransport a = start("a");
		TcpPeerTransport b = start("b");
		connect(a, b);
		CountDownLatch asked = new CountDownLatch(1);
		Sinks.One<PeerMessage> answer = Sinks.one();
		CountDownLatch answered = new CountDownLatch(1);
		b.onMessage(TestMessage.Ask.class, (from, ask) -> {
			asked.countDown();
			return answer.asMono().delayElement(Duration.ofMillis(300)).doFinally((signal) -> answered.countDown());
		});
		List<Throwable> unhandled = new CopyOnWriteArrayList<>();
		Hooks.onErrorDropped(unhandled::add);
		try {
			a.request("b", new TestMessage.Ask("", null), WAIT).subscribe((reply) -> {
			}, (error) -> {
			});
			assertThat(asked.await(5, TimeUnit.SECONDS)).isTrue();
			a.close();
			answer.tryEmitValue(new TestMessage.Answer("", null)).orThrow();
			assertThat(answered.await(5, TimeUnit.SECONDS)).isTrue();
			assertThat(unhandled).isEmpty();
		}
		finally {
			Hooks.resetOnErrorDropped();
		}
	}

	@Test
	void errorOfTheHandlerArrivesWithItsCode() {
		TcpPeerTransport a = start("a");
		TcpPeerTransport b = start("b");
		connect(a, b);
		b.onMessage(TestMessage.Ask.class, (from, ask) -> Mono
			.error(FescueholdException.withMessage(ErrorCode.NO_QUORUM, RunStatus.NO, 700, "tarawera")));
		FescueholdException error = failure(a.request("b", new TestMessage.Ask("", null), WAIT));
		assertThat(error.code()).isEqualTo(ErrorCode.NO_QUORUM);
		assertThat(error.retryAfterMs()).isEqualTo(700);
		assertThat(error).hasMessageContaining("tarawera");
	}

	@Test
	void unreachablePeerProvesThatNothingWasReceived() {
		TcpPeerTransport a = start("a");
		a.setPeer("b", new PeerAddress("127.0.0.1", 1));
		FescueholdException error = failure(a.request("b", new TestMessage.Ask("", null), WAIT));
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
			FescueholdException error = failure(a.request("b", new TestMessage.Ask("", null), WAIT));
			long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
			assertThat(error.run()).isEqualTo(RunStatus.UNKNOWN);
			assertThat(elapsedMs).isBetween(300L, 1_500L);
			a.send("b", new TestMessage.Ask("again", null));
			assertThat(secondConnection.await(5, TimeUnit.SECONDS)).isTrue();
			acceptor.interrupt();
			for (Socket socket : accepted) {
				socket.close();
			}
		}
	}

	@Test
	void callerThatGoesSilentIsDisconnected() throws Exception {
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
		b.onMessage(TestMessage.Ask.class, (from, ask) -> Mono.never());
		FescueholdException error = failure(a.request("b", new TestMessage.Ask("", null), Duration.ofMillis(200)));
		assertThat(error.code()).isEqualTo(ErrorCode.OUTCOME_UNKNOWN);
		assertThat(error.run()).isEqualTo(RunStatus.UNKNOWN);
	}

	@Test
	void messageLargerThanAFrameIsRefusedAndTheConnectionStays() {
		TcpPeerTransport a = start("a");
		TcpPeerTransport b = start("b");
		connect(a, b);
		b.onMessage(TestMessage.Ask.class, (from, ask) -> Mono.just(new TestMessage.Answer("", null)));
		FescueholdException error = failure(
				a.request("b", new TestMessage.Ask("x".repeat(LIMITS.maxFrameBytes()), null), WAIT));
		assertThat(error.run()).isEqualTo(RunStatus.NO);
		assertThat(a.request("b", new TestMessage.Ask("", null), WAIT).block(WAIT)).isNotNull();
	}

	@Test
	void restartedPeerIsReconnected() {
		TcpPeerTransport a = start("a");
		TcpPeerTransport b = start("b");
		connect(a, b);
		b.onMessage(TestMessage.Ask.class, (from, ask) -> Mono.empty());
		a.request("b", new TestMessage.Ask("", null), WAIT).block(WAIT);
		b.close();
		this.transports.remove(b);
		failure(a.request("b", new TestMessage.Ask("", null), Duration.ofMillis(300)));
		TcpPeerTransport restarted = start("b");
		connect(a, restarted);
		restarted.onMessage(TestMessage.Ask.class, (from, ask) -> Mono.just(new TestMessage.Answer("back", null)));
		PeerMessage reply = a.request("b", new TestMessage.Ask("", null), WAIT).retry(20).block(WAIT);
		assertThat(reply).isEqualTo(new TestMessage.Answer("back", null));
	}

	@Test
	void messageThatCannotBeReadIsRefusedAndTheConnectionStays() {
		TcpPeerTransport a = start("a");
		TcpPeerTransport b = start("b");
		connect(a, b);
		b.onMessage(TestMessage.Ask.class, (from, ask) -> Mono.just(new TestMessage.Answer("", null)));
		FescueholdException unknown = failure(a.request("b", new OtherMessage.Strange(), WAIT));
		assertThat(unknown.code()).isEqualTo(ErrorCode.NOT_FOUND);
		FescueholdException invalid = failure(a.request("b", new TestMessage.Odd(() -> {
		}), WAIT));
		assertThat(invalid.code()).isEqualTo(ErrorCode.BAD_REQUEST);
		assertThat(a.request("b", new TestMessage.Ask("", null), WAIT).block(WAIT)).isNotNull();
	}

	@Test
	void unknownHostIsNotHeard() {
		TcpPeerTransport a = start("a");
		TcpPeerTransport b = start("b");
		a.setPeer("b", new PeerAddress("127.0.0.1", b.port()));
		b.onMessage(TestMessage.Ask.class, (from, ask) -> Mono.just(new TestMessage.Answer("", null)));
		FescueholdException error = failure(a.request("b", new TestMessage.Ask("", null), WAIT));
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
		return Assertions.catchThrowableOfType(FescueholdException.class, () -> request.block(WAIT));
	}

	private TcpPeerTransport start(String hostId) {
		TcpPeerTransport transport = new TcpPeerTransport(
				new TransportOptions(hostId, new PeerAddress("127.0.0.1", 0), Map.of(), LIMITS), this.metrics,
				Schedulers.parallel());
		transport.start().block(WAIT);
		this.transports.add(transport);
		return transport;
	}

	private static void connect(TcpPeerTransport a, TcpPeerTransport b) {
		a.setPeer("b", new PeerAddress("127.0.0.1", b.port()));
		b.setPeer("a", new PeerAddress("127.0.0.1", a.port()));
	}

	/** Messages of the tests. */
	sealed interface TestMessage extends PeerMessage {

		record Ask(String text, Shape shape) implements TestMessage {
		}

		record Odd(Runnable canBeWrittenButNotRead) implements TestMessage {
		}

		record Answer(String text, Shape shape) implements TestMessage {
		}

	}

	/** A group that the receiver does not know. */
	sealed interface OtherMessage extends PeerMessage {

		record Strange() implements OtherMessage {
		}

	}

	/** A value of several kinds inside a message. */
	sealed interface Shape {

		record Round(int radius) implements Shape {
		}

		record Point() implements Shape {
		}

	}

}
