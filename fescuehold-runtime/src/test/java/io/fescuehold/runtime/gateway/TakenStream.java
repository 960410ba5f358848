package io.fescuehold.runtime.gateway;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;

/**
 * What a caller has of a stream.
 */
final class TakenStream {

	private String beganAs;

	private int position;

	private int breaks;

	private boolean complete;

	private final Set<String> versions = new TreeSet<>();

	private final List<String> origins = new ArrayList<>();

	private final List<String> refusals = new ArrayList<>();

	/**
	 * Reads what a host sends.
	 * @param socket the connection
	 * @param requestId the id of the attempt
	 * @return the HTTP status, or 0 without an answer
	 * @throws IOException if the connection breaks before the status
	 */
	int read(Socket socket, String requestId) throws IOException {
		BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
		String statusLine = in.readLine();
		if (statusLine == null) {
			return 0;
		}
		int status = Integer.parseInt(statusLine.split(" ")[1]);
		try {
			int position = 0;
			int length = -1;
			for (String line = in.readLine(); line != null; line = in.readLine()) {
				if (line.startsWith("id: ")) {
					position = Integer.parseInt(line.substring("id: ".length()));
				}
				else if (line.startsWith("data: ")) {
					add(requestId, position, line.substring("data: ".length()));
				}
				else if (line.toLowerCase(Locale.ROOT).startsWith("content-length: ")) {
					length = Integer.parseInt(line.substring("content-length: ".length()));
				}
				else if (length >= 0 && line.isEmpty()) {
					readBody(in, length);
					return status;
				}
				else if (line.equals("0")) {
					this.complete = true;
					return status;
				}
			}
		}
		catch (IOException ex) {
			this.breaks++;
		}
		return status;
	}

	private void readBody(BufferedReader in, int length) throws IOException {
		char[] body = new char[length];
		int read = (length > 0) ? in.read(body) : 0;
		if (read > 0) {
			this.refusals.add(String.valueOf(body, 0, read));
		}
	}

	private void add(String requestId, int eventPosition, String version) {
		if (this.beganAs == null) {
			this.beganAs = requestId;
		}
		if (eventPosition != this.position + 1) {
			throw new IllegalStateException("event " + eventPosition + " follows event " + this.position);
		}
		this.position = eventPosition;
		this.versions.add(version);
		this.origins.add(eventPosition + " " + version + " " + requestId);
	}

	/**
	 * Takes up a stream of which a caller has had the first event.
	 * @param requestId the id of the attempt that brought it
	 */
	void beganBy(String requestId) {
		this.beganAs = requestId;
		this.position = 1;
	}

	String beganAs() {
		return this.beganAs;
	}

	int position() {
		return this.position;
	}

	boolean isComplete() {
		return this.complete;
	}

	List<String> refusals() {
		return this.refusals;
	}

	Set<String> versions() {
		return this.versions;
	}

	@Override
	public String toString() {
		return "stream " + this.beganAs + ": " + this.origins;
	}

}
