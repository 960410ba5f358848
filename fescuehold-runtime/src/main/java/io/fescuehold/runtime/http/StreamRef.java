package io.fescuehold.runtime.http;

import io.fescuehold.runtime.backend.ModelServerClient;

/**
 * Identifies a stream in the {@code Fescuehold-Stream} header, with which a caller
 * resumes it.
 *
 * @param serverId the id of the model server that holds the stream
 * @param streamId the id of the stream at the server
 * @param routerHostId the host id of the router that serves the stream
 */
record StreamRef(String serverId, String streamId, String routerHostId) {

	private static final int PARTS = 3;

	/**
	 * Formats the header value.
	 * @return {@code serverId;streamId;routerHostId}
	 */
	String format() {
		return this.serverId + ";" + this.streamId + ";" + this.routerHostId;
	}

	/**
	 * Parses a header value.
	 * @param value the value
	 * @return the reference, or null if the value is malformed
	 */
	static StreamRef parse(String value) {
		String[] parts = value.split(";", -1);
		if (parts.length != PARTS || !ModelServerClient.isStreamId(parts[1])) {
			return null;
		}
		return new StreamRef(parts[0], parts[1], parts[2]);
	}

}
