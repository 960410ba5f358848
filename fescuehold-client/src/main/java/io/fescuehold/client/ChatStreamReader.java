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
 * Reads the response to one attempt of a chat request.
 */
final class ChatStreamReader {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final byte[] END_MARKER = "[DONE]".getBytes(StandardCharsets.UTF_8);

	private static final int OK = 200;

	private static final int BAD_GATEWAY = 502;

	private final SseParser parser = new SseParser();

	private final ByteArrayOutputStream errorBody = new ByteArrayOutputStream();

	private final StreamAssembler assembler;

	private WireSignal.Head head;

	private boolean done;

	private String finishReason;

	private JsonNode usage = MAPPER.createObjectNode();

	ChatStreamReader(StreamAssembler assembler) {
		this.assembler = assembler;
	}

	/**
	 * Returns whether a part of the response ends with the end marker. A marker that is
	 * split between two parts is not recognised.
	 * @param signal the part
	 * @return whether the stream probably ends here
	 */
	static boolean endsWithMarker(WireSignal signal) {
		if (!(signal instanceof WireSignal.Body body)) {
			return false;
		}
		byte[] bytes = body.bytes();
		int start = bytes.length - 1;
		while (start >= 0 && (bytes[start] == '\n' || bytes[start] == '\r')) {
			start--;
		}
		start -= END_MARKER.length - 1;
		return start >= 0
				&& java.util.Arrays.equals(bytes, start, start + END_MARKER.length, END_MARKER, 0, END_MARKER.length);
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
				return texts(this.parser.read(body.bytes()));
			}
			case WireSignal.Body body -> this.errorBody.writeBytes(body.bytes());
		}
		return List.of();
	}

	private boolean accepted() {
		return this.head.status() == OK && this.head.isEventStream();
	}

	private List<String> texts(List<SseEvent> events) {
		List<String> texts = new ArrayList<>();
		for (SseEvent event : events) {
			if ("[DONE]".equals(event.data())) {
				this.done = true;
			}
			else if ("error".equals(event.type())) {
				throw new RejectedException(Problem.read(errorHead(), event.data().getBytes(StandardCharsets.UTF_8)));
			}
			else {
				texts.addAll(readChunk(event));
			}
		}
		texts.removeIf(String::isEmpty);
		return texts;
	}

	private static WireSignal.Head errorHead() {
		// An error event within a stream has no HTTP status of its own; it counts as 502.
		return new WireSignal.Head(BAD_GATEWAY, new DefaultHttpHeaders());
	}

	private List<String> readChunk(SseEvent event) {
		JsonNode json;
		try {
			json = MAPPER.readTree(event.data());
		}
		catch (IOException ex) {
			throw new IllegalStateException("The stream contains an event that is not valid JSON", ex);
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
			throw new IllegalStateException("The connection was closed before a response arrived");
		}
		if (!accepted()) {
			throw new RejectedException(Problem.read(this.head, this.errorBody.toByteArray()));
		}
		if (!this.done || this.assembler.hasGap()) {
			throw new IllegalStateException("The stream ended prematurely after position " + this.assembler.position());
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
