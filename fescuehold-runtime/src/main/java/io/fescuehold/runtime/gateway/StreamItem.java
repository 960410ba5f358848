package io.fescuehold.runtime.gateway;

import java.util.Map;

import io.fescuehold.runtime.backend.BackendResponse;

/**
 * An element of the result of a streaming request.
 */
sealed interface StreamItem {

	/**
	 * The status and headers of the stream, emitted once before the events.
	 *
	 * @param status the HTTP status
	 * @param headers the headers of the first server, by lower-case name
	 */
	record Head(int status, Map<String, String> headers) implements StreamItem {
	}

	/**
	 * A complete event.
	 *
	 * @param bytes the bytes as the server sent them
	 * @param position the position in the stream, or 0 if the event has none
	 */
	record Event(byte[] bytes, long position) implements StreamItem {
	}

	/**
	 * A complete response that is not a stream and has not been evaluated, which callers
	 * do not get.
	 *
	 * @param response the response
	 * @param verdict what its head proves
	 */
	record Judged(BackendResponse response, AnswerVerdict verdict) implements StreamItem {
	}

	/**
	 * A complete response that is not a stream and is delivered to the caller.
	 *
	 * @param response the response
	 */
	record Complete(BackendResponse response) implements StreamItem {
	}

}
