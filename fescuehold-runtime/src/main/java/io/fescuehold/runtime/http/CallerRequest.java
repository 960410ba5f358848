package io.fescuehold.runtime.http;

import java.util.Locale;
import java.util.regex.Pattern;

import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.placement.ChatHint;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * The headers of a caller's request that the router acts on.
 *
 * @param requestId the id that the router assigns to the request
 * @param team the team, or null
 * @param chatId the chat, or null
 * @param priority the priority; requests with lower numbers are served first
 * @param deadlineMs the time in milliseconds that the caller allows, or 0 if not stated
 * @param hint the server that last served the chat, or null
 * @param idempotencyKey the key of a call that runs at most once, or null
 * @param stream the stream to resume, or null
 * @param lastEventId the last stream position that the caller received, or -1
 * @param receivedAtNs the arrival time of the request in nanoseconds, as given by
 * {@link System#nanoTime()}
 */
record CallerRequest(String requestId, String team, String chatId, int priority, long deadlineMs, ChatHint hint,
		String idempotencyKey, StreamRef stream, long lastEventId, long receivedAtNs) {

	static final String TEAM_HEADER = "Fescuehold-Team";

	private static final Pattern VISIBLE_ASCII = Pattern.compile("[\\x21-\\x7e]{1,200}");

	private static final int HIGH = 0;

	private static final int NORMAL = 5;

	private static final int LOW = 10;

	private static final long MAX_DEADLINE_MS = 86_400_000;

	/**
	 * Parses the headers.
	 * @param requestId the id of the request
	 * @param headers the headers
	 * @return the request
	 * @throws FescueholdException with code BAD_REQUEST if a header is not valid
	 */
	static CallerRequest of(String requestId, HttpHeaders headers) {
		return new CallerRequest(requestId, visibleAscii(headers, TEAM_HEADER),
				visibleAscii(headers, "Fescuehold-Chat"), priority(headers),
				number(headers, "Fescuehold-Deadline-Ms", 1, MAX_DEADLINE_MS, 0),
				ChatHint.parse(headers.get("Fescuehold-Chat-Hint")), visibleAscii(headers, "Idempotency-Key"),
				stream(headers), number(headers, "Last-Event-ID", 0, Long.MAX_VALUE, -1), System.nanoTime());
	}

	/**
	 * Returns a request with default values, with which errors in the headers are
	 * reported.
	 * @param requestId the id of the request
	 * @return the request
	 */
	static CallerRequest withIdOnly(String requestId) {
		return new CallerRequest(requestId, null, null, NORMAL, 0, null, null, null, -1, System.nanoTime());
	}

	/**
	 * Returns the team.
	 * @return the team
	 * @throws FescueholdException with code BAD_REQUEST if the header is missing
	 */
	String requireTeam() {
		if (this.team == null) {
			throw invalid(TEAM_HEADER, "it is missing", "send the name of your team");
		}
		return this.team;
	}

	/**
	 * Returns the chat id that determines the placement of the request.
	 * @return the chat id, or the request id if the request does not belong to a chat
	 */
	String placementChatId() {
		return (this.chatId != null) ? this.chatId : this.requestId;
	}

	private static String visibleAscii(HttpHeaders headers, String name) {
		String value = headers.get(name);
		if (value != null && !VISIBLE_ASCII.matcher(value).matches()) {
			throw invalid(name, "it does not consist of 1 to 200 visible ASCII characters",
					"send 1 to 200 visible ASCII characters");
		}
		return value;
	}

	private static int priority(HttpHeaders headers) {
		String value = headers.get("Fescuehold-Priority", "normal");
		return switch (value.toLowerCase(Locale.ROOT)) {
			case "high" -> HIGH;
			case "normal" -> NORMAL;
			case "low" -> LOW;
			default -> throw invalid("Fescuehold-Priority", "it is not a known priority", "send high, normal or low");
		};
	}

	private static long number(HttpHeaders headers, String name, long min, long max, long defaultValue) {
		String value = headers.get(name);
		if (value == null) {
			return defaultValue;
		}
		try {
			long number = Long.parseLong(value);
			if (number >= min && number <= max) {
				return number;
			}
		}
		catch (NumberFormatException ex) {
			// Rejected below, like a number out of range.
		}
		throw invalid(name, "it is not an integer from " + min + " to " + max, "send an integer in this range");
	}

	private static StreamRef stream(HttpHeaders headers) {
		String value = headers.get("Fescuehold-Stream");
		if (value == null) {
			return null;
		}
		StreamRef stream = StreamRef.parse(value);
		if (stream == null) {
			throw invalid("Fescuehold-Stream", "it is malformed", "send the header of the response unchanged");
		}
		return stream;
	}

	private static FescueholdException invalid(String header, String reason, String remedy) {
		return new FescueholdException(ErrorCode.BAD_REQUEST, "Header " + header, reason, remedy);
	}

}
