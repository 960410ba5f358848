package io.fescuehold.standin.proxy;

import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;

import io.fescuehold.standin.TestHttp;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against faults that are not injected as documented, which would make the
 * integration tests meaningless.
 */
class FaultProxyTests {

	private static final int REFUSAL_ROUNDS = 2_000;

	private static final int READ_TIMEOUT_MS = 200;

	private final List<Socket> sockets = new ArrayList<>();

	private ServerSocket echo;

	private FaultProxy proxy;

	@BeforeEach
	void start() throws IOException {
		this.echo = new ServerSocket(0);
		Thread.ofVirtual().start(() -> {
			while (!this.echo.isClosed()) {
				try {
					Socket socket = this.echo.accept();
					Thread.ofVirtual().start(() -> copy(socket));
				}
				catch (IOException ex) {
					return;
				}
			}
		});
		this.proxy = FaultProxy.start(this.echo.getLocalPort());
	}

	private static void copy(Socket socket) {
		try (socket) {
			socket.getInputStream().transferTo(socket.getOutputStream());
		}
		catch (IOException ex) {
			// The copy ends when the proxy resets the connection.
		}
	}

	@AfterEach
	void close() throws IOException {
		for (Socket socket : this.sockets) {
			socket.close();
		}
		this.proxy.close();
		this.echo.close();
	}

	private Socket connect() throws IOException {
		Socket socket = new Socket("127.0.0.1", this.proxy.port());
		socket.setSoTimeout(READ_TIMEOUT_MS);
		this.sockets.add(socket);
		return socket;
	}

	private static int echo(Socket socket, int value) throws IOException {
		socket.getOutputStream().write(value);
		return socket.getInputStream().read();
	}

	private static void assertSilent(Socket socket) {
		assertThatExceptionOfType(SocketTimeoutException.class).isThrownBy(() -> echo(socket, 1));
	}

	/**
	 * Guards against a proxy without a fault that alters bytes or loses the end of a
	 * stream.
	 */
	@Test
	void passesBytesAndTheEndOfAStream() throws IOException {
		Socket socket = connect();
		assertThat(echo(socket, 7)).isEqualTo(7);
		socket.shutdownOutput();
		assertThat(socket.getInputStream().read()).isEqualTo(-1);
	}

	/**
	 * Guards against open connections that survive a cut, and against new ones that fail.
	 */
	@Test
	void cutResetsOpenConnectionsOnly() throws IOException {
		Socket open = connect();
		echo(open, 1);
		this.proxy.cut();
		assertThatExceptionOfType(SocketException.class).isThrownBy(() -> open.getInputStream().read());
		assertThat(echo(connect(), 2)).isEqualTo(2);
	}

	/**
	 * Guards against a refusal that accepts connections, and against a port that changes
	 * afterwards.
	 */
	@Test
	void refuseEndsWithPassAtTheSamePort() throws IOException {
		echo(connect(), 1);
		this.proxy.refuse();
		assertThatExceptionOfType(ConnectException.class).isThrownBy(this::connect);
		this.proxy.pass();
		assertThat(echo(connect(), 2)).isEqualTo(2);
	}

	/** Guards against a port that is still open after refuse() has returned. */
	@Test
	void refusesAsSoonAsTheCallReturns() {
		for (int round = 0; round < REFUSAL_ROUNDS; round++) {
			this.proxy.pass();
			this.proxy.refuse();
			assertThatExceptionOfType(ConnectException.class).isThrownBy(this::connect);
		}
	}

	/** Guards against a one-way silence that also stops the other direction. */
	@Test
	void silenceToTheClientLetsBytesReachTheServer() throws IOException {
		try (ServerSocket target = new ServerSocket(0); FaultProxy oneWay = FaultProxy.start(target.getLocalPort())) {
			oneWay.silent(Direction.TO_CLIENT);
			Socket client = new Socket("127.0.0.1", oneWay.port());
			this.sockets.add(client);
			client.setSoTimeout(READ_TIMEOUT_MS);
			Socket server = target.accept();
			this.sockets.add(server);
			client.getOutputStream().write(3);
			server.getOutputStream().write(4);
			assertThat(server.getInputStream().read()).isEqualTo(3);
			assertThatExceptionOfType(SocketTimeoutException.class).isThrownBy(() -> client.getInputStream().read());
		}
	}

	/** Guards against bytes that arrive after a gap, which TCP never delivers. */
	@Test
	void connectionThatLostBytesStaysSilentAfterTheFault() throws IOException {
		Socket socket = connect();
		echo(socket, 1);
		this.proxy.silent(Direction.BOTH);
		assertSilent(socket);
		this.proxy.pass();
		assertSilent(socket);
		assertThat(echo(connect(), 2)).isEqualTo(2);
	}

	/** Guards against a closed connection that is signalled despite the silence. */
	@Test
	void silenceHidesAClosedEnd() throws IOException {
		Socket socket = connect();
		echo(socket, 1);
		this.proxy.silent(Direction.BOTH);
		socket.shutdownOutput();
		assertThatExceptionOfType(SocketTimeoutException.class).isThrownBy(() -> socket.getInputStream().read());
	}

	/** Guards against held bytes that are lost or delivered early. */
	@Test
	void heldBytesArriveWhenTheFaultEnds() throws IOException {
		Socket socket = connect();
		echo(socket, 1);
		this.proxy.set(new ProxyFault.Hold(Direction.BOTH));
		assertSilent(socket);
		this.proxy.pass();
		assertThat(socket.getInputStream().read()).isEqualTo(1);
	}

	/** Guards against new connections that are silenced together with the old ones. */
	@Test
	void silencedConnectionsStaySilentWhileNewOnesWork() throws IOException {
		Socket old = connect();
		echo(old, 1);
		this.proxy.silenceExisting();
		assertSilent(old);
		assertThat(echo(connect(), 2)).isEqualTo(2);
		assertSilent(old);
	}

	/** Guards against a delay that is too short, or that accumulates over chunks. */
	@Test
	void delayKeepsTheThroughput() throws IOException {
		this.proxy.set(new ProxyFault.Delay(50));
		Socket socket = connect();
		socket.setSoTimeout(2_000);
		long startNanos = System.nanoTime();
		for (int value = 0; value < 20; value++) {
			socket.getOutputStream().write(value);
			socket.getOutputStream().flush();
		}
		byte[] received = socket.getInputStream().readNBytes(20);
		long elapsedMs = (System.nanoTime() - startNanos) / 1_000_000;
		assertThat(received).hasSize(20);
		assertThat(elapsedMs).isBetween(100L, 600L);
	}

	/** Guards against a throttle that lets a burst through. */
	@Test
	void throttleLimitsTheRate() throws IOException {
		this.proxy.set(new ProxyFault.Throttle(50_000));
		Socket socket = connect();
		socket.setSoTimeout(5_000);
		long startNanos = System.nanoTime();
		Thread.ofVirtual().start(() -> {
			try {
				socket.getOutputStream().write(new byte[20_000]);
			}
			catch (IOException ex) {
				throw new java.io.UncheckedIOException(ex);
			}
		});
		socket.getInputStream().readNBytes(20_000);
		assertThat((System.nanoTime() - startNanos) / 1_000_000).isBetween(350L, 2_000L);
	}

	/** Guards against a cut at the wrong byte. */
	@Test
	void cutAfterPassesExactlyTheStatedBytes() throws IOException {
		this.proxy.set(new ProxyFault.CutAfter(5, Direction.TO_CLIENT));
		Socket socket = connect();
		socket.getOutputStream().write(new byte[] { 1, 2, 3, 4, 5, 6, 7 });
		InputStream input = socket.getInputStream();
		int count = 0;
		try {
			while (input.read() >= 0) {
				count++;
			}
		}
		catch (SocketException ex) {
			// The cut is a reset.
		}
		assertThat(count).isEqualTo(5);
	}

	/** Guards against a control endpoint that accepts unknown faults. */
	@Test
	void controlSetsFaultsAndRefusesUnknownOnes() {
		try (ProxyControl control = new ProxyControl(0, this.proxy)) {
			assertThat(
					TestHttp.send("POST", control.port(), "/faults", "{\"mode\":\"delay\",\"delayMs\":5}").statusCode())
				.isEqualTo(200);
			assertThat(this.proxy.fault()).isEqualTo(new ProxyFault.Delay(5));
			assertThat(TestHttp.send("POST", control.port(), "/faults", "{\"mode\":\"magic\"}").statusCode())
				.isEqualTo(400);
			assertThat(this.proxy.fault()).isEqualTo(new ProxyFault.Delay(5));
		}
	}

}
