package io.fescuehold.client;

import java.util.List;

/**
 * A request for the next answer of a chat.
 *
 * @param model the model
 * @param chatId the id of the chat, by which routers find the server that holds its
 * cached context
 * @param messages all messages so far, at least one
 * @param maxTokens the maximum number of tokens to generate, or 0 for no limit
 * @param priority high, normal or low
 * @param timeoutMs the time for the whole answer in milliseconds, or 0 for the client's
 * default
 */
public record ChatRequest(String model, String chatId, List<ChatMessage> messages, int maxTokens, String priority,
		long timeoutMs) {

	public ChatRequest {
		if (model == null || chatId == null || chatId.isEmpty()) {
			throw new IllegalArgumentException("A chat request needs a model and a chat id");
		}
		messages = List.copyOf(messages);
		if (messages.isEmpty()) {
			throw new IllegalArgumentException("A chat request needs at least one message");
		}
		if (maxTokens < 0 || timeoutMs < 0) {
			throw new IllegalArgumentException("maxTokens is " + maxTokens + " and timeoutMs is " + timeoutMs
					+ "; use 0 for no token limit or the client's default time, or a positive number");
		}
		priority = (priority != null) ? priority : "normal";
		if (!List.of("high", "normal", "low").contains(priority)) {
			throw new IllegalArgumentException("priority is " + priority + "; use high, normal or low");
		}
	}

	/**
	 * Creates a request of normal priority with no token limit and the client's default
	 * time limit.
	 * @param model the model
	 * @param chatId the id of the chat
	 * @param messages all messages so far
	 * @return the request
	 */
	public static ChatRequest of(String model, String chatId, ChatMessage... messages) {
		return new ChatRequest(model, chatId, List.of(messages), 0, null, 0);
	}

	/**
	 * Returns a copy with another token limit.
	 * @param newMaxTokens the maximum number of tokens to generate, or 0 for no limit
	 * @return the copy
	 */
	public ChatRequest withMaxTokens(int newMaxTokens) {
		return new ChatRequest(this.model, this.chatId, this.messages, newMaxTokens, this.priority, this.timeoutMs);
	}

	/**
	 * Returns a copy with another priority.
	 * @param newPriority high, normal or low
	 * @return the copy
	 */
	public ChatRequest withPriority(String newPriority) {
		return new ChatRequest(this.model, this.chatId, this.messages, this.maxTokens, newPriority, this.timeoutMs);
	}

	/**
	 * Returns a copy with another time limit.
	 * @param newTimeoutMs the time for the whole answer in milliseconds, or 0 for the
	 * client's default
	 * @return the copy
	 */
	public ChatRequest withTimeoutMs(long newTimeoutMs) {
		return new ChatRequest(this.model, this.chatId, this.messages, this.maxTokens, this.priority, newTimeoutMs);
	}

}
