package io.fescuehold.client;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.DefaultHttpHeaders;

/**
 * Reads the response of one attempt of a chat.
 */
final class ChatStreamReader {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final byte[] DONE_BYTES = "[DONE]".getBytes(StandardCharsets.UTF_8);

	private static final int OK = 200;

	private static final int BAD_GATEWAY = 502;

	private final SseParser parser = new SseParser();

	private final ByteArrayOutputStream rejection = new ByteArrayOutputStream();

	private final StreamAssembler assembler;

	private WireSignal.Head head;

	private boolean done;

	private String finishReason;

	private JsonNode usage = MAPPER.createObjectNode();

	ChatStreamReader(StreamAssembler assembler) {
		this.assembler = assembler;
	}

	/**
	 * Returns whether a part of the response looks like the end of the stream.
	 * @param signal the part
	 * @return whether it holds the end marker
	 */
	static boolean looksDone(WireSignal signal) {
		if (!(signal instanceof WireSignal.Body body)) {
			return false;
		}
		byte[] bytes = body.bytes();
		int start = bytes.length - 1;
		while (start >= 0 && (bytes[start] == '\n' || bytes[start] == '\r')) {
			start--;
		}
		start -= DONE_BYTES.length - 1;
		return start >= 0
				&& java.util.Arrays.equals(bytes, start, start + DONE_BYTES.length, DONE_BYTES, 0, DONE_BYTES.length);
	}

	/**
	 * Reads a part of the response.
	 * @param signal the part
	 * @return the texts that are now in order
	 */
	List<String> read(WireSignal signal) {
		switch (signal) {
			case WireSignal.Head newHead -> this.head = newHead;
			case WireSignal.Body body when accepted() -> {
				return pieces(this.parser.read(body.bytes()));
			}
			case WireSignal.Body body -> this.rejection.writeBytes(body.bytes());
		}
		return List.of();
	}

	private boolean accepted() {
		return this.head.status() == OK && this.head.isEventStream();
	}

	private List<String> pieces(List<SseEvent> events) {
		List<String> pieces = new ArrayList<>();
		for (SseEvent event : events) {
			if ("[DONE]".equals(event.data())) {
				this.done = true;
			}
			else if ("error".equals(event.type())) {
				throw new RejectedException(Problem.read(errorHead(), event.data().getBytes(StandardCharsets.UTF_8)));
			}
			else {
				pieces.addAll(chunk(event));
			}
		}
		pieces.removeIf(String::isEmpty);
		return pieces;
	}

	private static WireSignal.Head errorHead() {
		// A stream that fails after its start has no status of its own.
		return new WireSignal.Head(BAD_GATEWAY, new DefaultHttpHeaders());
	}

	private List<String> chunk(SseEvent event) {
		JsonNode json;
		try {
			json = MAPPER.readTree(event.data());
		}
		catch (IOException ex) {
			throw new IllegalStateException("The stream holds an event that is not JSON", ex);
		}
		JsonNode choice = json.path("choices").path(0);
		if (choice.path("finish_reason").isTextual()) {
			this.finishReason = choice.path("finish_reason").asText();
		}
		if (json.path("usage").isObject()) {
			this.usage = json.path("usage");
		}
		if (event.id() == null) {
			return List.of();
		}
		return this.assembler.accept(Long.parseLong(event.id()), choice.path("delta").path("content").asText(""));
	}

	/**
	 * Checks that the response was complete.
	 * @throws RejectedException if it was a rejection
	 * @throws IllegalStateException if the stream ended early or has a gap
	 */
	void checkComplete() {
		if (this.head == null) {
			throw new IllegalStateException("The connection ended without an answer");
		}
		if (!accepted()) {
			throw new RejectedException(Problem.read(this.head, this.rejection.toByteArray()));
		}
		if (!this.done || this.assembler.hasGap()) {
			throw new IllegalStateException("The stream ended early after position " + this.assembler.position());
		}
	}

	/**
	 * Returns whether the whole answer has arrived.
	 * @return whether the end marker and everything before it has arrived
	 */
	boolean complete() {
		return this.done && !this.assembler.hasGap();
	}

	/**
	 * Returns a header of an accepted response.
	 * @param name the header
	 * @return the value, or null
	 */
	String header(String name) {
		return (this.head != null && accepted()) ? this.head.headers().get(name) : null;
	}

	/**
	 * Returns whether the router moved the answer to another server's stream. The
	 * positions of that stream do not start at the caller's first token, so it cannot be
	 * resumed by position.
	 * @return whether the stream in the response header no longer serves the answer
	 */
	boolean moved() {
		String movedTo = this.parser.movedTo();
		return movedTo != null && !movedTo.equals(header("Fescuehold-Stream"));
	}

	String finishReason() {
		return this.finishReason;
	}

	int promptTokens() {
		return this.usage.path("prompt_tokens").asInt();
	}

	int cachedTokens() {
		return this.usage.path("prompt_tokens_details").path("cached_tokens").asInt();
	}

}
