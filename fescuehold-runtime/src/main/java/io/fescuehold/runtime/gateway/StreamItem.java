package io.fescuehold.runtime.gateway;

import java.util.Map;

import io.fescuehold.runtime.backend.BackendAnswer;

/**
 * What a streaming request yields.
 */
sealed interface StreamItem {

	/**
	 * The head of the stream, once, before its events.
	 *
	 * @param status the HTTP status
	 * @param headers the headers of the first server by lower-case name
	 */
	record Head(int status, Map<String, String> headers) implements StreamItem {
	}

	/**
	 * A whole event.
	 *
	 * @param bytes the bytes as the server sent them
	 */
	record Event(byte[] bytes) implements StreamItem {
	}

	/**
	 * An answer that is no stream.
	 *
	 * @param answer the answer
	 * @param judged whether it was decided that the caller receives it
	 */
	record Whole(BackendAnswer answer, boolean judged) implements StreamItem {
	}

}
