package io.fescuehold.core.port;

import io.fescuehold.core.streamversion.StreamRecord;
import io.fescuehold.core.streamversion.VersionVerdict;
import reactor.core.publisher.Mono;

/**
 * Knows which software version began each stream of the fleet.
 */
public interface StreamVersions {

	/**
	 * Records the version of a stream. Called before its first event is sent.
	 * @param began the record
	 * @return completes when the first event may be sent, after a bounded time even if
	 * other hosts do not answer
	 */
	Mono<Void> record(StreamRecord began);

	/**
	 * Finds out which version began a stream that a caller takes up.
	 * @param streamId the id of the attempt that brought the first event, or null if the
	 * caller names none
	 * @param service the service of the request
	 * @return the verdict, never open
	 */
	Mono<VersionVerdict> find(String streamId, String service);

}
