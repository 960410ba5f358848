package io.fescuehold.core.streamversion;

import java.util.Objects;

/**
 * The version that began a stream.
 *
 * @param streamId the id of the caller's attempt that brought the first event
 * @param service the service that runs the stream
 * @param version the software version of the server that sent the first event
 */
public record StreamRecord(String streamId, String service, String version) {

	/**
	 * Checks the arguments.
	 */
	public StreamRecord {
		Objects.requireNonNull(streamId, "streamId");
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(version, "version");
	}

}
