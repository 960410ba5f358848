package io.fescuehold.runtime.http.port;

import reactor.core.publisher.Mono;

/**
 * Notifies the router that previously served a stream that the caller has reconnected
 * through this router, so that the previous router does not cancel the stream when its
 * grace period ends. The receiving side calls {@code RouterServer.streamTaken}.
 */
@FunctionalInterface
public interface StreamHandover {

	/** Sends no notification. */
	StreamHandover NONE = (routerHostId, serverId, streamId) -> Mono.empty();

	/**
	 * Announces that this router resumes a stream.
	 * @param routerHostId the host id of the router that previously served the stream
	 * @param serverId the model server that holds the stream
	 * @param streamId the id of the stream
	 * @return completes when the previous router has acknowledged; an error or a slow
	 * response does not stop the resumption
	 */
	Mono<Void> announce(String routerHostId, String serverId, String streamId);

}
