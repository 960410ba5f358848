package io.fescuehold.runtime.http;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;

/**
 * The body of a chat request.
 */
final class ChatBody {

	private static final JsonMapper MAPPER = JsonMapper.builder()
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
		.build();

	private static final String CONTINUE_FINAL_MESSAGE = "continue_final_message";

	private static final String CONTENT = "content";

	private static final long CHARACTERS_PER_TOKEN = 4;

	private static final long TOKENS_PER_MESSAGE = 4;

	private static final long DEFAULT_OUTPUT_TOKENS = 512;

	private static final long MAX_OUTPUT_TOKENS = 10_000_000;

	private final ObjectNode root;

	private final long promptTokens;

	private ChatBody(ObjectNode root) {
		this.root = root;
		this.promptTokens = estimateTokens(root.get("messages"));
	}

	/**
	 * Parses and validates a body.
	 * @param json the JSON text in UTF-8
	 * @return the body
	 * @throws FescueholdException with code BAD_REQUEST if it is not a valid chat request
	 */
	static ChatBody parse(byte[] json) {
		JsonNode node;
		try {
			node = MAPPER.readTree(json);
		}
		catch (JsonProcessingException ex) {
			JsonLocation location = ex.getLocation();
			throw invalid(
					"/", (location != null) ? "it is not valid JSON in UTF-8 at line " + location.getLineNr()
							+ ", column " + location.getColumnNr() : "it is not valid JSON",
					"send valid JSON in UTF-8");
		}
		catch (IOException ex) {
			throw invalid("/", "it is not encoded in UTF-8", "send valid JSON in UTF-8");
		}
		if (!(node instanceof ObjectNode root)) {
			throw invalid("/", "it is not a JSON object", "send an OpenAI chat request");
		}
		if (!root.path("model").isTextual()) {
			throw invalid("/model", "it is missing or not a string", "name the model");
		}
		checkMessages(root.path("messages"));
		checkFlag(root, "stream");
		checkFlag(root, CONTINUE_FINAL_MESSAGE);
		checkLimit(root, "max_tokens");
		checkLimit(root, "max_completion_tokens");
		return new ChatBody(root);
	}

	private static void checkMessages(JsonNode messages) {
		if (!messages.isArray() || messages.isEmpty()) {
			throw invalid("/messages", "it is missing or empty", "send at least one message");
		}
		for (int i = 0; i < messages.size(); i++) {
			if (!messages.get(i).isObject()) {
				throw invalid("/messages/" + i, "it is not an object", "send an object with role and content");
			}
		}
	}

	private static void checkFlag(ObjectNode root, String name) {
		if (root.hasNonNull(name) && !root.get(name).isBoolean()) {
			throw invalid("/" + name, "it is not a boolean", "send true or false");
		}
	}

	private static void checkLimit(ObjectNode root, String name) {
		JsonNode limit = root.get(name);
		if (root.hasNonNull(name) && !(limit.isIntegralNumber() && limit.canConvertToLong() && limit.longValue() > 0
				&& limit.longValue() <= MAX_OUTPUT_TOKENS)) {
			throw invalid("/" + name, "it is not an integer from 1 to " + MAX_OUTPUT_TOKENS,
					"send an integer in this range");
		}
	}

	/**
	 * Returns the name of the requested model.
	 * @return the name
	 */
	String model() {
		return this.root.get("model").textValue();
	}

	/**
	 * Tells whether the caller asks for a stream.
	 * @return whether the response is streamed
	 */
	boolean isStreamed() {
		return this.root.path("stream").booleanValue();
	}

	/**
	 * Tells whether the last message is an unfinished response that the server is to
	 * continue.
	 * @return whether the last message is continued
	 */
	boolean continuesFinalMessage() {
		return this.root.path(CONTINUE_FINAL_MESSAGE).booleanValue();
	}

	/**
	 * Tells whether the response can be assembled from the text of a stream.
	 * @return false for requests whose response may have more than one choice, tool
	 * calls, log probabilities or audio
	 */
	boolean isAssemblableFromStream() {
		return !this.root.hasNonNull("tools") && !this.root.hasNonNull("functions")
				&& !this.root.hasNonNull("modalities") && !this.root.path("logprobs").booleanValue()
				&& this.root.path("n").asInt(1) == 1;
	}

	/**
	 * Returns the estimated number of prompt tokens.
	 * @return the number of tokens, about one for four characters
	 */
	long promptTokens() {
		return this.promptTokens;
	}

	/**
	 * Returns the maximum number of tokens to generate.
	 * @return the limit of the request, or a default if it has none
	 */
	long maxOutputTokens() {
		long limit = requestedLimit();
		return (limit > 0) ? limit : DEFAULT_OUTPUT_TOKENS;
	}

	/**
	 * Tells whether the request allows no further tokens.
	 * @param tokens the number of tokens already generated
	 * @return whether the limit of the request is reached
	 */
	boolean isLimitReached(long tokens) {
		long limit = requestedLimit();
		return limit > 0 && tokens >= limit;
	}

	private long requestedLimit() {
		return this.root.path("max_completion_tokens").asLong(this.root.path("max_tokens").asLong(0));
	}

	/**
	 * Serialises the body for a model server.
	 * @param priority the priority
	 * @param stream whether the server streams the response
	 * @return the JSON
	 */
	byte[] toServerRequest(int priority, boolean stream) {
		return write(copy(priority, stream));
	}

	/**
	 * Serialises the body for a model server that continues a partial response.
	 * @param priority the priority
	 * @param text the text generated so far
	 * @param tokens the number of tokens generated so far
	 * @return the JSON
	 */
	byte[] toContinuationRequest(int priority, String text, long tokens) {
		ObjectNode copy = copy(priority, true);
		ArrayNode messages = copy.putArray("messages").addAll((ArrayNode) this.root.get("messages"));
		if (continuesFinalMessage()) {
			ObjectNode last = ((ObjectNode) messages.get(messages.size() - 1)).deepCopy();
			last.put(CONTENT, last.path(CONTENT).asText() + text);
			messages.set(messages.size() - 1, last);
		}
		else {
			messages.addObject().put("role", "assistant").put(CONTENT, text);
		}
		copy.put(CONTINUE_FINAL_MESSAGE, true);
		for (String limit : new String[] { "max_tokens", "max_completion_tokens" }) {
			if (copy.hasNonNull(limit)) {
				copy.put(limit, Math.max(1, copy.get(limit).longValue() - tokens));
			}
		}
		return write(copy);
	}

	private ObjectNode copy(int priority, boolean stream) {
		ObjectNode copy = MAPPER.createObjectNode().setAll(this.root);
		return copy.put("stream", stream).put("priority", priority);
	}

	private static byte[] write(ObjectNode node) {
		try {
			return MAPPER.writeValueAsBytes(node);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("The chat request could not be serialised as JSON", ex);
		}
	}

	private static long estimateTokens(JsonNode messages) {
		long characters = 0;
		for (JsonNode message : messages) {
			JsonNode content = message.path(CONTENT);
			characters += (content.isTextual()) ? content.textValue().length() : content.toString().length();
		}
		return TOKENS_PER_MESSAGE * messages.size() + characters / CHARACTERS_PER_TOKEN;
	}

	private static FescueholdException invalid(String pointer, String reason, String remedy) {
		return new FescueholdException(ErrorCode.BAD_REQUEST, "Body " + pointer, reason, remedy);
	}

}
