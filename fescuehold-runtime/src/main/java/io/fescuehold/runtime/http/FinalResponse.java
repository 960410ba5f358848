package io.fescuehold.runtime.http;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Tells the parts of a response from informational responses such as 100 (Continue),
 * which precede it and leave its request open.
 */
public final class FinalResponse {

	private FinalResponse() {
	}

	/**
	 * Returns whether a written message begins the final response to a request.
	 * @param message the message
	 * @return whether it is the head of a response that is not informational
	 */
	public static boolean begins(Object message) {
		return message instanceof HttpResponse response && !isInformational(response);
	}

	/**
	 * Returns whether a written message ends the final response to a request.
	 * @param message the message
	 * @return whether the next message belongs to another request
	 */
	public static boolean ends(Object message) {
		return message instanceof LastHttpContent
				&& !(message instanceof HttpResponse response && isInformational(response));
	}

	private static boolean isInformational(HttpResponse response) {
		return response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
	}

}
