package review2.rig;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads and writes HTTP/1.1 messages on plain sockets. */
public final class Http {

	private Http() {
	}

	/** The head of a message: its first line and its header fields. */
	public record Head(String line, Map<String, String> fields) {

		public String field(String name) {
			return this.fields.get(name.toLowerCase(Locale.ROOT));
		}

		public String method() {
			return this.line.split(" ")[0];
		}

		public String target() {
			return this.line.split(" ")[1];
		}

		public int status() {
			String[] parts = this.line.split(" ");
			try {
				return (parts.length > 1 && parts[0].startsWith("HTTP/1.")) ? Integer.parseInt(parts[1]) : -1;
			}
			catch (NumberFormatException ex) {
				return -1;
			}
		}

	}

	/** Returns the head, or null if the connection ended before its first byte. */
	public static Head readHead(InputStream in) throws IOException {
		String line = readLine(in);
		while (line != null && line.isEmpty()) {
			line = readLine(in);
		}
		if (line == null) {
			return null;
		}
		Map<String, String> fields = new TreeMap<>();
		for (String field = readLine(in); field == null || !field.isEmpty(); field = readLine(in)) {
			if (field == null) {
				throw new EOFException("the head is cut");
			}
			int colon = field.indexOf(':');
			if (colon > 0) {
				fields.merge(field.substring(0, colon).strip().toLowerCase(Locale.ROOT),
						field.substring(colon + 1).strip(), (a, b) -> a + ", " + b);
			}
		}
		return new Head(line, fields);
	}

	/** Reads a body; one without a length or chunks is empty, or ends with the connection. */
	public static byte[] readBody(InputStream in, Head head, boolean untilEnd) throws IOException {
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		String coding = head.field("transfer-encoding");
		String length = head.field("content-length");
		if (coding != null && coding.toLowerCase(Locale.ROOT).contains("chunked")) {
			while (true) {
				String size = readLine(in);
				if (size == null) {
					throw new EOFException("the body is cut after " + body.size() + " bytes");
				}
				int bytes = Integer.parseInt(size.split(";")[0].strip(), 16);
				if (bytes == 0) {
					for (String trailer = readLine(in); trailer != null && !trailer.isEmpty(); trailer = readLine(in)) {
					}
					return body.toByteArray();
				}
				copy(in, body, bytes);
				readLine(in);
			}
		}
		if (length != null) {
			copy(in, body, Integer.parseInt(length));
		}
		else if (untilEnd) {
			in.transferTo(body);
		}
		return body.toByteArray();
	}

	private static void copy(InputStream in, ByteArrayOutputStream body, int bytes) throws IOException {
		byte[] read = in.readNBytes(bytes);
		body.writeBytes(read);
		if (read.length < bytes) {
			throw new EOFException("the body is cut after " + body.size() + " bytes");
		}
	}

	private static String readLine(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		for (int next = in.read(); next != '\n'; next = in.read()) {
			if (next < 0) {
				if (line.size() > 0) {
					throw new EOFException("a line is cut: " + line.toString(StandardCharsets.ISO_8859_1));
				}
				return null;
			}
			line.write(next);
		}
		String text = line.toString(StandardCharsets.ISO_8859_1);
		return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
	}

	public static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.ISO_8859_1);
	}

}
