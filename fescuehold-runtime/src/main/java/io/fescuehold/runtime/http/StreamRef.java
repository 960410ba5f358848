package io.fescuehold.runtime.http;

import io.fescuehold.runtime.backend.ModelServerClient;

/**
 * Names a stream towards the caller, as carried in the {@code Fescuehold-Stream} header.
 *
 * @param serverId the model server that holds the stream
 * @param streamId the stream at the server
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
	 * Reads a header value.
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
