package io.fescuehold.standin;

import java.util.Map;

import io.fescuehold.standin.modelserver.ModelServer;
import io.fescuehold.standin.modelserver.ModelServerOptions;
import org.kohsuke.args4j.Option;

/**
 * Starts a model server.
 */
public final class ModelServerCommand implements StandinCommand {

	@Option(name = "--port", usage = "port, 0 for any free port")
	private int port;

	@Option(name = "--admin-port", usage = "port that is never refused, 0 for any free port")
	private int adminPort;

	@Option(name = "--token-ms", usage = "milliseconds between two tokens of a request")
	private int tokenMs = ModelServerOptions.DEFAULT.tokenMs();

	@Option(name = "--prefill-tokens-per-s", usage = "prompt tokens processed per second")
	private int prefillTokensPerS = ModelServerOptions.DEFAULT.prefillTokensPerS();

	@Option(name = "--max-running", usage = "requests that run at a time")
	private int maxRunning = ModelServerOptions.DEFAULT.maxRunning();

	@Option(name = "--cache-tokens", usage = "tokens in the prefix cache")
	private int cacheTokens = ModelServerOptions.DEFAULT.cacheTokens();

	@Option(name = "--load-lag-ms", usage = "age of the load that is reported")
	private int loadLagMs = ModelServerOptions.DEFAULT.loadLagMs();

	@Option(name = "--cache-event-lag-ms", usage = "age at which cache events are published")
	private int cacheEventLagMs = ModelServerOptions.DEFAULT.cacheEventLagMs();

	@Option(name = "--ignore-fencing", usage = "accept orders with outdated fencing numbers")
	private boolean ignoreFencing;

	@Override
	public Map<String, Integer> start() {
		ModelServer server = ModelServer.start(this.port, this.adminPort,
				new ModelServerOptions(this.tokenMs, this.prefillTokensPerS, this.maxRunning, this.cacheTokens,
						this.loadLagMs, this.cacheEventLagMs, !this.ignoreFencing));
		return Map.of("port", server.port(), "adminPort", server.adminPort());
	}

}
