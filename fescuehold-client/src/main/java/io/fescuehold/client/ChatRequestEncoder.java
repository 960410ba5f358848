package io.fescuehold.client;

import java.util.HashMap;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Encodes the HTTP requests of a chat: the first one, one that resumes a stream, and one
 * that continues the text received so far.
 */
final class ChatRequestEncoder {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final ChatRequest request;

	private final String team;

	ChatRequestEncoder(ChatRequest request, String team) {
		this.request = request;
		this.team = team;
	}

	/**
	 * Returns the body of a request for the rest of the answer.
	 * @param text the text received so far, empty for a new answer
	 * @param tokens the number of tokens in the text
	 * @return the JSON text in UTF-8
	 */
	byte[] body(String text, long tokens) {
		ObjectNode body = MAPPER.createObjectNode();
		body.put("model", this.request.model()).put("stream", true);
		body.putObject("stream_options").put("include_usage", true);
		if (this.request.maxTokens() > 0) {
			body.put("max_tokens", this.request.maxTokens() - tokens);
		}
		ArrayNode messages = body.putArray("messages");
		this.request.messages().forEach((message) -> add(messages, message));
		if (!text.isEmpty()) {
			add(messages, ChatMessage.assistant(text));
			body.put("continue_final_message", true).put("add_generation_prompt", false);
		}
		try {
			return MAPPER.writeValueAsBytes(body);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("The chat request cannot be serialised to JSON", ex);
		}
	}

	private static void add(ArrayNode messages, ChatMessage message) {
		messages.addObject().put("role", message.role()).put("content", message.content());
	}

	/**
	 * Returns the headers of an attempt.
	 * @param hint the chat's hint, or null
	 * @param remainingMs the time left for the answer in milliseconds
	 * @param attempt the number of the attempt, from 1
	 * @param stream the stream to resume, or null
	 * @param position the last position received of that stream
	 * @return the headers
	 */
	Map<String, String> headers(String hint, long remainingMs, int attempt, String stream, long position) {
		Map<String, String> headers = new HashMap<>();
		headers.put("Content-Type", "application/json");
		headers.put("Accept", "text/event-stream");
		headers.put("Fescuehold-Team", this.team);
		headers.put("Fescuehold-Chat", this.request.chatId());
		headers.put("Fescuehold-Priority", this.request.priority());
		headers.put("Fescuehold-Deadline-Ms", Long.toString(Math.max(1, remainingMs)));
		if (hint != null) {
			headers.put("Fescuehold-Chat-Hint", hint);
		}
		if (attempt > 1) {
			headers.put("Fescuehold-Attempt", Integer.toString(attempt));
		}
		if (stream != null) {
			headers.put("Fescuehold-Stream", stream);
			headers.put("Last-Event-ID", Long.toString(position));
		}
		return headers;
	}

}
