package io.fescuehold.client;

import java.nio.charset.StandardCharsets;

/**
 * The answer of a service.
 *
 * @param status the HTTP status that the service gave
 * @param contentType the type of the body, or null
 * @param body the body
 * @param attempts how often the call was sent
 */
public record ServiceAnswer(int status, String contentType, byte[] body, int attempts) {

	/**
	 * Returns the body as text.
	 * @return the body, read as UTF-8
	 */
	public String text() {
		return new String(this.body, StandardCharsets.UTF_8);
	}

}
