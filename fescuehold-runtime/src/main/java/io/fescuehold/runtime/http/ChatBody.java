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

	private static final String CONTINUE = "continue_final_message";

	private static final String CONTENT = "content";

	private static final long CHARACTERS_PER_TOKEN = 4;

	private static final long TOKENS_PER_MESSAGE = 4;

	private static final long DEFAULT_OUTPUT_TOKENS = 512;

	private static final long MAX_OUTPUT_TOKENS = 10_000_000;

	private final ObjectNode root;

	private final long promptTokens;

	private ChatBody(ObjectNode root) {
		this.root = root;
		this.promptTokens = estimate(root.get("messages"));
	}

	/**
	 * Reads a body.
	 * @param json the bytes
	 * @return the body
	 * @throws FescueholdException with code BAD_REQUEST if it is no chat request
	 */
	static ChatBody parse(byte[] json) {
		JsonNode node;
		try {
			node = MAPPER.readTree(json);
		}
		catch (JsonProcessingException ex) {
			JsonLocation place = ex.getLocation();
			throw invalid("/", (place != null)
					? "it is no JSON in UTF-8 from line " + place.getLineNr() + ", column " + place.getColumnNr()
					: "it is no JSON", "send valid JSON in UTF-8");
		}
		catch (IOException ex) {
			throw invalid("/", "it is no text in UTF-8", "send valid JSON in UTF-8");
		}
		if (!(node instanceof ObjectNode root)) {
			throw invalid("/", "it is no JSON object", "send an OpenAI chat request");
		}
		if (!root.path("model").isTextual()) {
			throw invalid("/model", "it is missing or no text", "name the model");
		}
		checkMessages(root.path("messages"));
		checkFlag(root, "stream");
		checkFlag(root, CONTINUE);
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
				throw invalid("/messages/" + i, "it is no object", "send an object with role and content");
			}
		}
	}

	private static void checkFlag(ObjectNode root, String name) {
		if (root.hasNonNull(name) && !root.get(name).isBoolean()) {
			throw invalid("/" + name, "it is no boolean", "send true or false");
		}
	}

	private static void checkLimit(ObjectNode root, String name) {
		JsonNode limit = root.get(name);
		if (root.hasNonNull(name) && !(limit.isIntegralNumber() && limit.canConvertToLong() && limit.longValue() > 0
				&& limit.longValue() <= MAX_OUTPUT_TOKENS)) {
			throw invalid("/" + name, "it is no integer from 1 to " + MAX_OUTPUT_TOKENS, "send such a number");
		}
	}

	/**
	 * Returns the model.
	 * @return the model
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
	 * Tells whether the last message is an unfinished response that is to be continued.
	 * @return whether it is continued
	 */
	boolean continuesFinalMessage() {
		return this.root.path(CONTINUE).booleanValue();
	}

	/**
	 * Tells whether the response can be put together from the text of a stream.
	 * @return false for requests whose response has more than one choice, tool calls, log
	 * probabilities or audio
	 */
	boolean isAssemblable() {
		return !this.root.hasNonNull("tools") && !this.root.hasNonNull("functions")
				&& !this.root.hasNonNull("modalities") && !this.root.path("logprobs").booleanValue()
				&& this.root.path("n").asInt(1) == 1;
	}

	/**
	 * Returns the estimated tokens of the prompt.
	 * @return the tokens, about one for four characters
	 */
	long promptTokens() {
		return this.promptTokens;
	}

	/**
	 * Returns the tokens that may be generated.
	 * @return the limit of the request, or a default if it has none
	 */
	long maxOutputTokens() {
		long limit = statedLimit();
		return (limit > 0) ? limit : DEFAULT_OUTPUT_TOKENS;
	}

	/**
	 * Tells whether the request allows no further token.
	 * @param tokens the tokens already generated
	 * @return whether the limit of the request is reached
	 */
	boolean isLimitReached(long tokens) {
		long limit = statedLimit();
		return limit > 0 && tokens >= limit;
	}

	private long statedLimit() {
		return this.root.path("max_completion_tokens").asLong(this.root.path("max_tokens").asLong(0));
	}

	/**
	 * Writes the body for a model server.
	 * @param priority the priority
	 * @param stream whether the server streams the response
	 * @return the JSON
	 */
	byte[] forServer(int priority, boolean stream) {
		return write(copy(priority, stream));
	}

	/**
	 * Writes the body for a model server that continues a response.
	 * @param priority the priority
	 * @param text the text generated so far
	 * @param tokens the tokens generated so far
	 * @return the JSON
	 */
	byte[] continued(int priority, String text, long tokens) {
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
		copy.put(CONTINUE, true);
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
			throw new IllegalStateException("A JSON tree could not be written", ex);
		}
	}

	private static long estimate(JsonNode messages) {
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
