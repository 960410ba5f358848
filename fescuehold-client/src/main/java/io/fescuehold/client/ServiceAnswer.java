package io.fescuehold.client;

import java.nio.charset.StandardCharsets;

/**
 * The response of a service.
 *
 * @param status the HTTP status
 * @param contentType the media type of the body, empty if the service stated none
 * @param body the body
 * @param attempts the number of attempts that were sent
 */
public record ServiceAnswer(int status, String contentType, byte[] body, int attempts) {

	/**
	 * Returns the body as text.
	 * @return the body decoded as UTF-8
	 */
	public String text() {
		return new String(this.body, StandardCharsets.UTF_8);
	}

}
