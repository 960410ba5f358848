package io.fescuehold.standin;

import java.util.Map;

import io.fescuehold.standin.proxy.FaultProxy;
import io.fescuehold.standin.proxy.ProxyControl;
import org.kohsuke.args4j.Option;

/**
 * Starts a fault-injecting proxy.
 */
public final class ProxyCommand implements StandinCommand {

	@Option(name = "--port", usage = "port, 0 for any free port")
	private int port;

	@Option(name = "--control-port", usage = "port of POST /faults, 0 for any free port")
	private int controlPort;

	@Option(name = "--target-port", required = true, usage = "loopback port to which connections are passed")
	private int targetPort;

	@Override
	public Map<String, Integer> start() {
		FaultProxy proxy = FaultProxy.start(this.port, this.targetPort);
		ProxyControl control = new ProxyControl(this.controlPort, proxy);
		return Map.of("port", proxy.port(), "controlPort", control.port());
	}

}
