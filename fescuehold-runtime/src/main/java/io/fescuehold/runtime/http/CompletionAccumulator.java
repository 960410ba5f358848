package io.fescuehold.runtime.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fescuehold.runtime.backend.BackendFailure;

/**
 * Accumulates the text of a streamed chat completion, so that the completion can be
 * continued on another server or assembled into a single response.
 */
final class CompletionAccumulator {

	private static final JsonMapper MAPPER = new JsonMapper();

	private static final String USAGE = "usage";

	private static final String COMPLETION_TOKENS = "completion_tokens";

	private static final String PROMPT_TOKENS = "prompt_tokens";

	private static final String TOTAL_TOKENS = "total_tokens";

	private final StringBuilder text = new StringBuilder();

	private final int maxCharacters;

	private JsonNode firstChunk;

	private JsonNode usage;

	private String finishReason;

	private boolean textOnly = true;

	private boolean overflowed;

	CompletionAccumulator(int maxCharacters) {
		this.maxCharacters = maxCharacters;
	}

	/**
	 * Adds a chunk of the completion.
	 * @param data the OpenAI chunk as JSON
	 * @param earlierTokens the number of tokens that other servers generated before this
	 * stream; in the usage they are moved from the prompt to the completion
	 * @return the chunk as JSON for the caller, with the corrected usage
	 */
	String add(String data, long earlierTokens) {
		JsonNode chunk = parse(data);
		this.firstChunk = (this.firstChunk != null) ? this.firstChunk : chunk;
		JsonNode choice = chunk.path("choices").path(0);
		JsonNode delta = choice.path("delta");
		append(delta.path("content").asText(""));
		this.textOnly &= chunk.path("choices").size() <= 1 && choice.path("index").asInt() == 0
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
	 * Tells whether a chunk carries a finish reason or usage that no earlier chunk had.
	 * @param data the OpenAI chunk as JSON
	 * @return whether the chunk carries the first finish reason or the first usage
	 */
	boolean addsFinishReasonOrUsage(String data) {
		JsonNode chunk = parse(data);
		return this.finishReason == null && chunk.path("choices").path(0).hasNonNull("finish_reason")
				|| this.usage == null && chunk.hasNonNull(USAGE);
	}

	private void append(String part) {
		if (this.text.length() + part.length() > this.maxCharacters) {
			this.overflowed = true;
			this.text.setLength(0);
		}
		if (!this.overflowed) {
			this.text.append(part);
		}
	}

	private static JsonNode parse(String data) {
		try {
			return MAPPER.readTree(data);
		}
		catch (JsonProcessingException ex) {
			throw new BackendFailure(BackendFailure.Kind.PROTOCOL, "an event is not valid JSON", ex);
		}
	}

	/**
	 * Tells whether another server can continue the response.
	 * @return whether the response so far is plain text and is still held completely
	 */
	boolean isContinuable() {
		return this.textOnly && !this.overflowed;
	}

	/**
	 * Returns the text received so far.
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
	 * Returns the number of prompt tokens that the server read from its cache.
	 * @return the number of tokens, 0 if unknown
	 */
	long cachedTokens() {
		return (this.usage != null) ? this.usage.path("prompt_tokens_details").path("cached_tokens").asLong() : 0;
	}

	/**
	 * Returns the number of tokens of prompt and response together.
	 * @param fallback the value to return if the server has not reported usage
	 * @return the number of tokens
	 */
	long totalTokens(long fallback) {
		return (this.usage != null)
				? this.usage.path(PROMPT_TOKENS).asLong() + this.usage.path(COMPLETION_TOKENS).asLong() : fallback;
	}

	/**
	 * Assembles the chunks into a non-streaming response.
	 * @return the response as JSON
	 * @throws BackendFailure if the response is too large to be held or is not plain text
	 */
	byte[] assemble() {
		if (!isContinuable()) {
			throw new BackendFailure(BackendFailure.Kind.TOO_LARGE,
					"the response exceeds " + this.maxCharacters + " characters or is not plain text", null);
		}
		ObjectNode body = MAPPER.createObjectNode();
		for (String name : new String[] { "id", "created", "model", "system_fingerprint" }) {
			if (this.firstChunk != null && this.firstChunk.hasNonNull(name)) {
				body.set(name, this.firstChunk.get(name));
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
			throw new IllegalStateException("The chat completion could not be serialised as JSON", ex);
		}
	}

}
