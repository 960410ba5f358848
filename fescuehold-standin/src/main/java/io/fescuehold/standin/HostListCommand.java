package io.fescuehold.standin;

import java.util.Map;

import io.fescuehold.standin.hosts.HostList;
import org.kohsuke.args4j.Option;

/**
 * Starts a host list.
 */
public final class HostListCommand implements StandinCommand {

	@Option(name = "--port", usage = "port, 0 for any free port")
	private int port;

	@Option(name = "--lag-ms", usage = "milliseconds until new content is shown")
	private int lagMs;

	@Override
	public Map<String, Integer> start() {
		return Map.of("port", HostList.start(this.port, this.lagMs).port());
	}

}
