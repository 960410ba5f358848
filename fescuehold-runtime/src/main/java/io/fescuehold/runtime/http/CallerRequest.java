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
 * @param requestId the id that the router gives the request
 * @param team the team, or null
 * @param chatId the chat, or null
 * @param priority the priority, where a lower number is served earlier
 * @param deadlineMs the time in milliseconds that the caller allows, or 0
 * @param hint where the chat was last served, or null
 * @param idempotencyKey the key of a call that runs at most once, or null
 * @param stream the stream to resume, or null
 * @param lastEventId the last position that the caller received, or -1
 * @param receivedAtNs when the request arrived, as given by {@link System#nanoTime()}
 */
record CallerRequest(String requestId, String team, String chatId, int priority, long deadlineMs, ChatHint hint,
		String idempotencyKey, StreamRef stream, long lastEventId, long receivedAtNs) {

	static final String TEAM_HEADER = "Fescuehold-Team";

	private static final Pattern VISIBLE = Pattern.compile("[\\x21-\\x7e]{1,200}");

	private static final int HIGH = 0;

	private static final int NORMAL = 5;

	private static final int LOW = 10;

	private static final long MAX_DEADLINE_MS = 86_400_000;

	/**
	 * Reads the headers.
	 * @param requestId the id of the request
	 * @param headers the headers
	 * @return the request
	 * @throws FescueholdException with code BAD_REQUEST if a header is not valid
	 */
	static CallerRequest of(String requestId, HttpHeaders headers) {
		return new CallerRequest(requestId, visible(headers, TEAM_HEADER), visible(headers, "Fescuehold-Chat"),
				priority(headers), number(headers, "Fescuehold-Deadline-Ms", 1, MAX_DEADLINE_MS, 0),
				ChatHint.parse(headers.get("Fescuehold-Chat-Hint")), visible(headers, "Idempotency-Key"),
				stream(headers), number(headers, "Last-Event-ID", 0, Long.MAX_VALUE, -1), System.nanoTime());
	}

	/**
	 * Returns a request of which only the id is known.
	 * @param requestId the id of the request
	 * @return the request
	 */
	static CallerRequest unread(String requestId) {
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
	 * Returns the chat that the request is placed by.
	 * @return the chat, or the request id for a request outside any chat
	 */
	String placementChatId() {
		return (this.chatId != null) ? this.chatId : this.requestId;
	}

	private static String visible(HttpHeaders headers, String name) {
		String value = headers.get(name);
		if (value != null && !VISIBLE.matcher(value).matches()) {
			throw invalid(name, "it is not made of 1 to 200 visible ASCII characters", "send such a value");
		}
		return value;
	}

	private static int priority(HttpHeaders headers) {
		String value = headers.get("Fescuehold-Priority", "normal");
		return switch (value.toLowerCase(Locale.ROOT)) {
			case "high" -> HIGH;
			case "normal" -> NORMAL;
			case "low" -> LOW;
			default -> throw invalid("Fescuehold-Priority", "it is no priority", "send high, normal or low");
		};
	}

	private static long number(HttpHeaders headers, String name, long min, long max, long absent) {
		String value = headers.get(name);
		if (value == null) {
			return absent;
		}
		try {
			long number = Long.parseLong(value);
			if (number >= min && number <= max) {
				return number;
			}
		}
		catch (NumberFormatException ex) {
			// Refused below together with numbers out of range.
		}
		throw invalid(name, "it is no number from " + min + " to " + max, "send such a number");
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

	private static FescueholdException invalid(String place, String reason, String remedy) {
		return new FescueholdException(ErrorCode.BAD_REQUEST, "Header " + place, reason, remedy);
	}

}
