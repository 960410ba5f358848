package io.fescuehold.client;

/**
 * A message of a chat.
 *
 * @param role system, user or assistant
 * @param content the text
 */
public record ChatMessage(String role, String content) {

	public ChatMessage {
		if (role == null || content == null) {
			throw new IllegalArgumentException("A message needs a role and a content");
		}
	}

	/**
	 * Creates a message of the user.
	 * @param content the text
	 * @return the message
	 */
	public static ChatMessage user(String content) {
		return new ChatMessage("user", content);
	}

	/**
	 * Creates a message of the assistant.
	 * @param content the text
	 * @return the message
	 */
	public static ChatMessage assistant(String content) {
		return new ChatMessage("assistant", content);
	}

}
