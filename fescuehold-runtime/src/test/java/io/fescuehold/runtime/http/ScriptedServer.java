package io.fescuehold.runtime.http;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A backend server on the loopback address whose script determines every byte it sends.
 */
public final class ScriptedServer implements AutoCloseable {

	private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(5);

	private volatile ServerSocket listener;

	private volatile Thread acceptor;

	private volatile boolean closed;

	private final Script script;

	private final List<Received> received = new CopyOnWriteArrayList<>();

	private final List<Socket> sockets = new CopyOnWriteArrayList<>();

	private final AtomicInteger connections = new AtomicInteger();

	public ScriptedServer(Script script) {
		this.script = script;
		try {
			listen(0);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private void listen(int port) throws IOException {
		ServerSocket accepting = new ServerSocket(port, 100, InetAddress.getLoopbackAddress());
		this.listener = accepting;
		this.acceptor = Thread.ofVirtual().start(() -> accept(accepting));
	}

	private void accept(ServerSocket accepting) {
		while (!accepting.isClosed()) {
			try {
				Socket socket = accepting.accept();
				this.sockets.add(socket);
				int connectionNumber = this.connections.incrementAndGet();
				Thread.ofVirtual().start(() -> serve(socket, connectionNumber));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket socket, int connectionNumber) {
		try (socket) {
			InputStream in = new BufferedInputStream(socket.getInputStream());
			while (true) {
				Received request = readRequest(in, connectionNumber);
				if (request == null) {
					return;
				}
				this.received.add(request);
				this.script.serve(request, new Connection(socket));
			}
		}
		catch (Exception ex) {
			// Expected: many scripts close the connection, and close() closes the others.
		}
	}

	private static Received readRequest(InputStream in, int connectionNumber) throws IOException {
		String line = readLine(in);
		if (line == null) {
			return null;
		}
		Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
		for (String header = readLine(in); header != null && !header.isEmpty(); header = readLine(in)) {
			int colon = header.indexOf(':');
			headers.put(header.substring(0, colon), header.substring(colon + 1).strip());
		}
		byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
		String[] parts = line.split(" ");
		return new Received(connectionNumber, parts[0], parts[1], headers, new String(body, StandardCharsets.UTF_8));
	}

	private static String readLine(InputStream in) throws IOException {
		StringBuilder line = new StringBuilder();
		for (int octet = in.read(); octet != '\n'; octet = in.read()) {
			if (octet < 0) {
				return null;
			}
			line.append((char) octet);
		}
		return line.toString().strip();
	}

	public int port() {
		return this.listener.getLocalPort();
	}

	public int connections() {
		return this.connections.get();
	}

	public List<Received> received() {
		return this.received;
	}

	public long count(String method) {
		return this.received.stream().filter((request) -> request.method().equals(method)).count();
	}

	/**
	 * Ends all connections like a process that crashes, and refuses connections until it
	 * listens at the same port again.
	 * @param downMs the time in milliseconds for which connections are refused
	 */
	public void crash(long downMs) {
		int port = port();
		closeConnections();
		Thread.ofVirtual().start(() -> {
			try {
				Thread.sleep(downMs);
				if (!this.closed) {
					listen(port);
				}
			}
			catch (IOException | InterruptedException ex) {
				throw new IllegalStateException(ex);
			}
		});
	}

	@Override
	public void close() {
		this.closed = true;
		closeConnections();
	}

	/**
	 * Refuses new connections. Those that are open stay.
	 */
	public void stopListening() {
		try {
			this.listener.close();
			// A socket that is closed while a virtual thread accepts from it can still
			// accept a connection until that thread has ended.
			if (!this.acceptor.join(CLOSE_TIMEOUT)) {
				throw new IllegalStateException(
						"port " + port() + " still accepts connections " + CLOSE_TIMEOUT + " after it was closed");
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void closeConnections() {
		stopListening();
		try {
			for (Socket socket : this.sockets) {
				socket.close();
			}
			this.sockets.clear();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	public interface Script {

		void serve(Received request, Connection connection) throws Exception;

	}

	public record Received(int connection, String method, String target, Map<String, String> headers, String body) {

		public boolean isChat() {
			return this.target.equals("/v1/chat/completions");
		}

		public long from() {
			return Long.parseLong(this.target.substring(this.target.indexOf("from=") + "from=".length()));
		}

	}

	public static final class Connection {

		private final Socket socket;

		Connection(Socket socket) {
			this.socket = socket;
		}

		public void send(String text) throws IOException {
			OutputStream out = this.socket.getOutputStream();
			out.write(text.getBytes(StandardCharsets.UTF_8));
			out.flush();
		}

		public void answer(int status, String body) throws IOException {
			send("HTTP/1.1 " + status + " Status\r\nContent-Type: application/json\r\nContent-Length: "
					+ body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + body);
		}

		public void beginStream(String streamId) throws IOException {
			send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Stream-Id: " + streamId
					+ "\r\nTransfer-Encoding: chunked\r\n\r\n");
		}

		public void chunk(String text) throws IOException {
			int length = text.getBytes(StandardCharsets.UTF_8).length;
			send(Integer.toHexString(length).toUpperCase(Locale.ROOT) + "\r\n" + text + "\r\n");
		}

		void tokens(int first, int last) throws IOException {
			for (int position = first; position <= last; position++) {
				token(position, "w" + position + " ");
			}
		}

		void token(int position, String text) throws IOException {
			chunk("id: " + position + "\ndata: {\"id\":\"c\",\"object\":\"chat.completion.chunk\",\"model\":\"m\","
					+ "\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + text + "\"}}]}\n\n");
		}

		void endStream(int tokens) throws IOException {
			chunk("data: {\"id\":\"c\",\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}],"
					+ "\"usage\":{\"prompt_tokens\":10,\"completion_tokens\":" + tokens
					+ ",\"prompt_tokens_details\":{\"cached_tokens\":4}}}\n\n");
			chunk("data: [DONE]\n\n");
			send("0\r\n\r\n");
		}

		public void reset() throws IOException {
			this.socket.setSoLinger(true, 0);
			this.socket.close();
		}

		/**
		 * Waits until the other side closes the connection.
		 */
		public void awaitEnd() throws IOException {
			while (this.socket.getInputStream().read() >= 0) {
				Thread.onSpinWait();
			}
		}

		public void hang() throws InterruptedException {
			Thread.sleep(60_000);
		}

	}

}
