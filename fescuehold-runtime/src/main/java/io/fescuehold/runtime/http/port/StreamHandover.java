package io.fescuehold.runtime.http.port;

import reactor.core.publisher.Mono;

/**
 * Tells the router that served a stream before that its caller has come back through this
 * router, so that the other router does not cancel the stream once its grace has passed.
 * The receiving side calls {@code RouterServer.streamTaken}.
 */
@FunctionalInterface
public interface StreamHandover {

	/** Tells nobody. */
	StreamHandover NONE = (routerHostId, serverId, streamId) -> Mono.empty();

	/**
	 * Announces that this router resumes a stream.
	 * @param routerHostId the host id of the router that served the stream before
	 * @param serverId the model server that holds the stream
	 * @param streamId the stream
	 * @return completes once the router knows; an error or a long wait does not stop the
	 * resume
	 */
	Mono<Void> announce(String routerHostId, String serverId, String streamId);

}
