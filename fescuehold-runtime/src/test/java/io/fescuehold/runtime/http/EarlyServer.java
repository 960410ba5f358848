package io.fescuehold.runtime.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A backend server on the loopback address that answers each request as soon as its head
 * has arrived, with the first event of a response without a length, and ends the
 * connection without having read the body of the request.
 */
public final class EarlyServer implements AutoCloseable {

	/** The complete event that the answer consists of. */
	public static final String PART = "id: 1\ndata: part\n\n";

	private static final int RECEIVE_BUFFER_BYTES = 16 << 10;

	private static final Pattern REQUEST_ID = Pattern.compile("(?i)x-request: *(\\S+)");

	private final ServerSocket listener;

	private final boolean reset;

	private final long pauseMs;

	public EarlyServer(boolean reset, long pauseMs) {
		this.reset = reset;
		this.pauseMs = pauseMs;
		try {
			this.listener = new ServerSocket();
			this.listener.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
			this.listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		Thread.ofVirtual().start(this::accept);
	}

	private void accept() {
		while (!this.listener.isClosed()) {
			try {
				answer(this.listener.accept());
			}
			catch (IOException | InterruptedException ex) {
				// The gateway closes connections, and close() closes the listener.
			}
		}
	}

	private void answer(Socket socket) throws IOException, InterruptedException {
		try (socket) {
			StringBuilder head = new StringBuilder();
			while (head.indexOf("\r\n\r\n") < 0) {
				head.append((char) socket.getInputStream().read());
			}
			Matcher id = REQUEST_ID.matcher(head);
			boolean found = id.find();
			socket.getOutputStream()
				.write(("HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Request: " + (found ? id.group(1) : "")
						+ "\r\nContent-Type: text/event-stream\r\n\r\n" + PART)
					.getBytes(StandardCharsets.UTF_8));
			Thread.sleep(this.pauseMs);
			if (this.reset) {
				socket.setSoLinger(true, 0);
			}
			else {
				socket.shutdownOutput();
				Thread.sleep(500);
			}
		}
	}

	public int port() {
		return this.listener.getLocalPort();
	}

	@Override
	public void close() {
		try {
			this.listener.close();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
