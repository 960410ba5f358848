package io.fescuehold.runtime.backend;

/**
 * A part of a streamed response of a model server.
 */
public sealed interface StreamPart {

	/**
	 * The head of the response.
	 *
	 * @param streamId the id by which the stream can be resumed and cancelled, or null
	 */
	record Head(String streamId) implements StreamPart {
	}

	/** A comment, which the server sends to keep the connection alive. */
	record Comment() implements StreamPart {
	}

	/**
	 * An event.
	 *
	 * @param position the position, or 0 if the event has none
	 * @param data the data, one OpenAI chunk as JSON
	 */
	record Event(long position, String data) implements StreamPart {
	}

	/** The stream is complete. */
	record Done() implements StreamPart {
	}

}
