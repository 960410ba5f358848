package io.fescuehold.runtime.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fescuehold.runtime.backend.BackendFailure;

/**
 * The text of a response as it grows, from which the response can be continued on another
 * server or put together as a whole.
 */
final class AnswerText {

	private static final JsonMapper MAPPER = new JsonMapper();

	private static final String USAGE = "usage";

	private static final String COMPLETION_TOKENS = "completion_tokens";

	private static final String PROMPT_TOKENS = "prompt_tokens";

	private static final String TOTAL_TOKENS = "total_tokens";

	private final StringBuilder text = new StringBuilder();

	private final int maxCharacters;

	private JsonNode first;

	private JsonNode usage;

	private String finishReason;

	private boolean plain = true;

	private boolean overflown;

	AnswerText(int maxCharacters) {
		this.maxCharacters = maxCharacters;
	}

	/**
	 * Adds a chunk.
	 * @param data the OpenAI chunk as JSON
	 * @param earlierTokens the tokens that other servers generated before the stream of
	 * this chunk, by which its usage is corrected
	 * @return the chunk as JSON for the caller
	 */
	String add(String data, long earlierTokens) {
		JsonNode chunk = parse(data);
		this.first = (this.first != null) ? this.first : chunk;
		JsonNode choice = chunk.path("choices").path(0);
		JsonNode delta = choice.path("delta");
		append(delta.path("content").asText(""));
		this.plain &= chunk.path("choices").size() <= 1 && choice.path("index").asInt() == 0
				&& !delta.hasNonNull("tool_calls") && !delta.hasNonNull("function_call");
		if (choice.hasNonNull("finish_reason")) {
			this.finishReason = choice.get("finish_reason").asText();
		}
		if (!chunk.hasNonNull(USAGE)) {
			return data;
		}
		this.usage = chunk.get(USAGE);
		if (earlierTokens == 0 || !(this.usage instanceof ObjectNode corrected)) {
			return data;
		}
		corrected.put(PROMPT_TOKENS, corrected.path(PROMPT_TOKENS).longValue() - earlierTokens);
		corrected.put(COMPLETION_TOKENS, corrected.path(COMPLETION_TOKENS).longValue() + earlierTokens);
		return chunk.toString();
	}

	/**
	 * Tells whether a chunk ends the response and no earlier one did.
	 * @param data the OpenAI chunk as JSON
	 * @return whether the chunk carries the first finish reason or the first usage
	 */
	boolean isNewEnd(String data) {
		JsonNode chunk = parse(data);
		return this.finishReason == null && chunk.path("choices").path(0).hasNonNull("finish_reason")
				|| this.usage == null && chunk.hasNonNull(USAGE);
	}

	private void append(String part) {
		if (this.text.length() + part.length() > this.maxCharacters) {
			this.overflown = true;
			this.text.setLength(0);
		}
		if (!this.overflown) {
			this.text.append(part);
		}
	}

	private static JsonNode parse(String data) {
		try {
			return MAPPER.readTree(data);
		}
		catch (JsonProcessingException ex) {
			throw new BackendFailure(BackendFailure.Kind.PROTOCOL, "an event is no JSON", ex);
		}
	}

	/**
	 * Tells whether another server can continue the response.
	 * @return whether the response so far is text that is still held
	 */
	boolean isContinuable() {
		return this.plain && !this.overflown;
	}

	/**
	 * Returns the text so far.
	 * @return the text
	 */
	String text() {
		return this.text.toString();
	}

	/**
	 * Tells whether the server has ended the response.
	 * @return whether a finish reason was seen
	 */
	boolean hasFinishReason() {
		return this.finishReason != null;
	}

	/**
	 * Returns the prompt tokens that the server took from its cache.
	 * @return the tokens, 0 if unknown
	 */
	long cachedTokens() {
		return (this.usage != null) ? this.usage.path("prompt_tokens_details").path("cached_tokens").asLong() : 0;
	}

	/**
	 * Returns the tokens of prompt and response.
	 * @param otherwise the value if the server did not report them
	 * @return the tokens
	 */
	long totalTokens(long otherwise) {
		return (this.usage != null)
				? this.usage.path(PROMPT_TOKENS).asLong() + this.usage.path(COMPLETION_TOKENS).asLong() : otherwise;
	}

	/**
	 * Puts the response together.
	 * @return the JSON of a response that was not streamed
	 * @throws BackendFailure if the response is not held as a whole
	 */
	byte[] assemble() {
		if (!isContinuable()) {
			throw new BackendFailure(BackendFailure.Kind.TOO_LARGE,
					"the response exceeds " + this.maxCharacters + " characters or is not plain text", null);
		}
		ObjectNode body = MAPPER.createObjectNode();
		for (String name : new String[] { "id", "created", "model", "system_fingerprint" }) {
			if (this.first != null && this.first.hasNonNull(name)) {
				body.set(name, this.first.get(name));
			}
		}
		body.put("object", "chat.completion");
		ObjectNode choice = body.putArray("choices").addObject().put("index", 0);
		choice.putObject("message").put("role", "assistant").put("content", text());
		choice.put("finish_reason", this.finishReason);
		if (this.usage instanceof ObjectNode object) {
			object.put(TOTAL_TOKENS, totalTokens(0));
			body.set(USAGE, object);
		}
		try {
			return MAPPER.writeValueAsBytes(body);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("A JSON tree could not be written", ex);
		}
	}

}
