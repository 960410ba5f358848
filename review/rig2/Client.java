package review2.rig;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;

/** A client of PROTOCOL.md on one connection. */
public final class Client implements AutoCloseable {

	/** An answer; the failure is null if it is complete. */
	public record Answer(Http.Head head, byte[] body, String failure) {

		public String text() {
			return (this.body != null) ? new String(this.body, java.nio.charset.StandardCharsets.ISO_8859_1) : "";
		}

		public boolean complete() {
			return this.failure == null;
		}

		public int status() {
			return (this.head != null) ? this.head.status() : 0;
		}

		/** Returns whether it is a success for the client: a complete 2xx with the stamp. */
		public boolean served() {
			return complete() && status() / 100 == 2 && this.head.field(Names.STAMP) != null;
		}

		@Override
		public String toString() {
			return ((this.head != null) ? this.head.line() : "no head") + ", "
					+ ((this.body != null) ? this.body.length : 0) + " bytes, "
					+ (complete() ? "complete" : "incomplete: " + this.failure);
		}

	}

	private final Socket socket = new Socket();

	private final InputStream in;

	public Client(String address, int timeoutMs) throws IOException {
		int colon = address.lastIndexOf(':');
		this.socket.setTcpNoDelay(true);
		this.socket.setSoTimeout(timeoutMs);
		this.socket.connect(new InetSocketAddress(address.substring(0, colon),
				Integer.parseInt(address.substring(colon + 1))), 1_000);
		this.in = new BufferedInputStream(this.socket.getInputStream());
	}

	public void send(byte[] bytes) throws IOException {
		this.socket.getOutputStream().write(bytes);
		this.socket.getOutputStream().flush();
	}

	public Answer read() {
		Http.Head head = null;
		byte[] body = null;
		try {
			head = Http.readHead(this.in);
			if (head == null) {
				return new Answer(null, null, "the connection ended without an answer");
			}
			body = Http.readBody(this.in, head, true);
			return new Answer(head, body, null);
		}
		catch (IOException | RuntimeException ex) {
			return new Answer(head, body, String.valueOf(ex.getMessage()));
		}
	}

	/** Sends one request on a connection of its own and reads the answer. */
	public static Answer call(String address, byte[] request, int timeoutMs) {
		try (Client client = new Client(address, timeoutMs)) {
			client.send(request);
			return client.read();
		}
		catch (IOException ex) {
			return new Answer(null, null, "not sent: " + ex.getMessage());
		}
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

}
