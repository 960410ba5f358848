package io.fescuehold.runtime.discovery;

import java.util.List;

import io.fescuehold.core.servers.BackendServer;
import reactor.core.publisher.Mono;

/**
 * Source of the platform's list of backend servers.
 */
public interface ServerListSource {

	/**
	 * Reads the complete list.
	 * @return the servers; errors if the list cannot be read in full
	 */
	Mono<List<BackendServer>> read();

}
