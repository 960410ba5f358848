package review3.rig;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A connection of a caller, which it keeps for many requests.
 */
public final class Client implements AutoCloseable {

	private final Socket socket = new Socket();

	private final InputStream in;

	/**
	 * Opens a connection.
	 * @param bufferBytes the receive buffer, or 0 for the system's default
	 */
	public Client(String ip, int bufferBytes) throws IOException {
		if (bufferBytes > 0) {
			this.socket.setReceiveBufferSize(bufferBytes);
		}
		this.socket.setTcpNoDelay(true);
		this.socket.connect(new InetSocketAddress(ip, 8227), 1_000);
		this.in = new BufferedInputStream(this.socket.getInputStream(), (bufferBytes > 0) ? bufferBytes : 8_192);
	}

	public Client timeoutMs(int timeoutMs) throws IOException {
		this.socket.setSoTimeout(timeoutMs);
		return this;
	}

	public void send(String method, String path, String id, int deadlineMs, String moreHeaders, byte[] body)
			throws IOException {
		String head = method + " " + path + " HTTP/1.1\r\nHost: review.example\r\n" + Server.line("header.id", id)
				+ Server.line("header.deadline", String.valueOf(deadlineMs))
				+ "Authorization: Bearer key-of-the-keepers\r\n" + moreHeaders
				+ ((body.length > 0) ? "Content-Length: " + body.length + "\r\n" : "") + "\r\n";
		byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
		byte[] bytes = new byte[headBytes.length + body.length];
		System.arraycopy(headBytes, 0, bytes, 0, headBytes.length);
		System.arraycopy(body, 0, bytes, headBytes.length, body.length);
		this.socket.getOutputStream().write(bytes);
	}

	/** Reads a whole response, or returns null if the connection ends before it. */
	public Message receive() throws IOException {
		return Message.read(this.in);
	}

	public InputStream in() {
		return this.in;
	}

	/** Sends a request over a connection of its own and returns the response. */
	public static Message call(String ip, String method, String path, String id, String body) throws IOException {
		try (Client client = new Client(ip, 0).timeoutMs(10_000)) {
			client.send(method, path, id, 6_000, "", body.getBytes(StandardCharsets.UTF_8));
			return client.receive();
		}
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

}
