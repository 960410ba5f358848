package io.fescuehold.standin.modelserver;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The body of a chat completion request.
 *
 * @param model the model, default {@code "standin"}
 * @param messages the messages, at least one
 * @param stream whether the response is streamed
 * @param maxTokens the exact number of tokens to generate, or 0 to stop at the natural
 * end of the answer
 * @param priority the priority; lower values are served first, default 0
 * @param continueFinalMessage whether the last message is an incomplete answer to be
 * continued
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record ChatBody(String model, List<Message> messages, boolean stream, @JsonProperty("max_tokens") int maxTokens,
		int priority, @JsonProperty("continue_final_message") boolean continueFinalMessage) {

	public ChatBody {
		model = (model != null) ? model : "standin";
		if (messages == null || messages.isEmpty()) {
			throw new IllegalArgumentException("messages is empty; send at least one message");
		}
		messages = List.copyOf(messages);
		if (maxTokens < 0) {
			throw new IllegalArgumentException("max_tokens is " + maxTokens + "; send 0 or more");
		}
		if (continueFinalMessage && !"assistant".equals(messages.getLast().role())) {
			throw new IllegalArgumentException("continue_final_message needs a last message of role assistant");
		}
	}

	/**
	 * A message of a chat.
	 *
	 * @param role the role
	 * @param content the text
	 */
	@JsonIgnoreProperties(ignoreUnknown = true)
	public record Message(String role, String content) {

		public Message {
			role = (role != null) ? role : "user";
			content = (content != null) ? content : "";
		}

	}

}
