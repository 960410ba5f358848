package review3.rig;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A backend server. It answers health probes and reports itself, and hands all other requests to the
 * case, one at a time on each connection.
 */
public final class Server implements AutoCloseable {

	private final ServerSocket socket;

	private final String id;

	private final Handler handler;

	public Server(String ip, String id, Handler handler) throws IOException {
		this.id = id;
		this.handler = handler;
		this.socket = new ServerSocket(0, 512, InetAddress.getByName(ip));
		Thread.ofVirtual().start(this::accept);
	}

	String address() {
		return this.socket.getInetAddress().getHostAddress() + ":" + this.socket.getLocalPort();
	}

	public String id() {
		return this.id;
	}

	private void accept() {
		while (!this.socket.isClosed()) {
			try {
				Socket accepted = this.socket.accept();
				accepted.setTcpNoDelay(true);
				Thread.ofVirtual().start(() -> serve(accepted));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket accepted) {
		try (accepted) {
			InputStream in = new BufferedInputStream(accepted.getInputStream());
			OutputStream out = accepted.getOutputStream();
			for (Message request = Message.read(in); request != null; request = Message.read(in)) {
				String expected = request.header("header.expected");
				if (request.path().equals("/healthz") || request.path().startsWith("/api/")) {
					write(out, "HTTP/1.1 200 OK\r\n" + line("header.instance", this.id) + "Content-Length: 2\r\n\r\n{}");
				}
				else if (expected != null && !expected.equals(this.id)) {
					write(out, "HTTP/1.1 421 Misdirected Request\r\n" + line("header.instance", this.id)
							+ "Content-Length: 0\r\n\r\n");
				}
				else {
					this.handler.handle(request, accepted, out);
				}
			}
		}
		catch (IOException ex) {
			// The peer has closed the connection.
		}
	}

	/** The head of a signed response, up to the fields of its body. */
	public static String signedHead(Message request, String status) {
		return "HTTP/1.1 " + status + "\r\n" + line("header.id", request.header("header.id"))
				+ line("header.stamp", "review.stamp");
	}

	public static String line(String key, String value) {
		return Rig.name(key) + ": " + value + "\r\n";
	}

	public static void write(OutputStream out, String text) throws IOException {
		out.write(text.getBytes(StandardCharsets.UTF_8));
		out.flush();
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

	/** Runs one request. */
	public interface Handler {

		void handle(Message request, Socket connection, OutputStream out) throws IOException;

	}

}
