package review3.rig;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/**
 * An HTTP/1.1 message that was read from a socket.
 */
public record Message(String firstLine, Map<String, String> headers, byte[] body) {

	private static final int MAX_LINE_BYTES = 64 << 10;

	/** Reads a message, or returns null at the end of the connection. */
	public static Message read(InputStream in) throws IOException {
		Message head = readHead(in);
		return (head != null) ? new Message(head.firstLine, head.headers, readBody(in, head.headers)) : null;
	}

	/** Reads a message without its body, or returns null at the end of the connection. */
	public static Message readHead(InputStream in) throws IOException {
		String first = line(in);
		if (first == null) {
			return null;
		}
		Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
		String line = line(in);
		while (line != null && !line.isEmpty()) {
			int colon = line.indexOf(':');
			headers.put(line.substring(0, colon).strip(), line.substring(colon + 1).strip());
			line = line(in);
		}
		if (line == null) {
			throw new EOFException("the head is cut");
		}
		return new Message(first, headers, new byte[0]);
	}

	private static byte[] readBody(InputStream in, Map<String, String> headers) throws IOException {
		if ("chunked".equalsIgnoreCase(headers.get("Transfer-Encoding"))) {
			java.io.ByteArrayOutputStream body = new java.io.ByteArrayOutputStream();
			while (true) {
				String size = line(in);
				if (size == null) {
					throw new EOFException("the body is cut");
				}
				int length = Integer.parseInt(size.strip(), 16);
				body.write(exactly(in, length));
				line(in);
				if (length == 0) {
					return body.toByteArray();
				}
			}
		}
		return exactly(in, Integer.parseInt(headers.getOrDefault("Content-Length", "0")));
	}

	private static byte[] exactly(InputStream in, int length) throws IOException {
		byte[] bytes = in.readNBytes(length);
		if (bytes.length < length) {
			throw new EOFException("the body is cut");
		}
		return bytes;
	}

	private static String line(InputStream in) throws IOException {
		StringBuilder line = new StringBuilder();
		int next = in.read();
		while (next >= 0 && next != '\n' && line.length() < MAX_LINE_BYTES) {
			line.append((char) next);
			next = in.read();
		}
		if (next < 0 && line.isEmpty()) {
			return null;
		}
		if (next != '\n') {
			throw new EOFException("a line is cut");
		}
		return line.toString().strip();
	}

	/** The status of a response. */
	public int status() {
		return Integer.parseInt(this.firstLine.split(" ")[1]);
	}

	/** The path of a request. */
	public String path() {
		return this.firstLine.split(" ")[1];
	}

	public String header(String key) {
		return this.headers.get(Rig.name(key));
	}

	public String text() {
		return new String(this.body, StandardCharsets.UTF_8);
	}

}
