package io.fescuehold.standin;

import java.util.Map;

import io.fescuehold.standin.weights.WeightStore;
import org.kohsuke.args4j.Option;

/**
 * Starts a weight store.
 */
public final class WeightStoreCommand implements StandinCommand {

	@Option(name = "--port", usage = "port, 0 for any free port")
	private int port;

	@Option(name = "--requests-per-s", usage = "requests served per second")
	private double requestsPerS = 1;

	@Override
	public Map<String, Integer> start() {
		return Map.of("port", WeightStore.start(this.port, this.requestsPerS).port());
	}

}
