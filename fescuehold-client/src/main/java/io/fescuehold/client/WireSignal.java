package io.fescuehold.client;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A part of an HTTP response: the head first, then any number of body chunks.
 */
sealed interface WireSignal {

	/**
	 * The status and headers.
	 *
	 * @param status the HTTP status
	 * @param headers the headers
	 */
	record Head(int status, HttpHeaders headers) implements WireSignal {

		boolean isEventStream() {
			return contentType().startsWith("text/event-stream");
		}

		// A service may answer with a problem document of its own.
		boolean isProblemOfRouter() {
			return contentType().startsWith("application/problem+json")
					&& !"service".equals(this.headers.get("Fescuehold-Response-Source"));
		}

		String contentType() {
			String type = this.headers.get("Content-Type");
			return (type != null) ? type : "";
		}

	}

	/**
	 * Bytes of the body.
	 *
	 * @param bytes the bytes
	 */
	record Body(byte[] bytes) implements WireSignal {
	}

}
