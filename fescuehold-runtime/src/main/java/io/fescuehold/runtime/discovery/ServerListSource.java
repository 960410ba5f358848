package io.fescuehold.runtime.discovery;

import java.util.List;

import io.fescuehold.core.servers.BackendServer;
import reactor.core.publisher.Mono;

/**
 * Reads the platform's list of backend servers.
 */
public interface ServerListSource {

	/**
	 * Reads the whole list.
	 * @return the servers, or an error if the list cannot be read in full
	 */
	Mono<List<BackendServer>> read();

}
