package io.fescuehold.runtime.transport;

/**
 * The body of a frame. Field names are short because every frame carries them.
 *
 * @param k the kind
 * @param c the correlation id of a request and its reply, otherwise 0
 * @param t the name of the message type, or the error code of an error
 * @param b the message in MessagePack, or a {@link RemoteError}, otherwise null
 */
record Frame(int k, long c, String t, byte[] b) {

	static final int HELLO = 0;

	static final int PING = 1;

	static final int SEND = 2;

	static final int REQUEST = 3;

	static final int REPLY = 4;

	static final int EMPTY_REPLY = 5;

	static final int ERROR = 6;

	/**
	 * An error that a handler raised.
	 *
	 * @param run the name of the run status
	 * @param retryAfterMs the time in milliseconds after which a retry may succeed, or 0
	 * @param message the formatted message
	 */
	record RemoteError(String run, long retryAfterMs, String message) {

	}

}
