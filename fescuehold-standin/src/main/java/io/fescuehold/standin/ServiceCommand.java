package io.fescuehold.standin;

import java.nio.file.Path;
import java.util.Map;

import io.fescuehold.standin.service.PlainService;
import io.fescuehold.standin.service.ServiceOptions;
import org.kohsuke.args4j.Option;

/**
 * Starts a plain service.
 */
public final class ServiceCommand implements StandinCommand {

	@Option(name = "--port", usage = "port, 0 for any free port")
	private int port;

	@Option(name = "--admin-port", usage = "port that is never refused, 0 for any free port")
	private int adminPort;

	@Option(name = "--log", required = true, usage = "file that receives one JSON line per execution")
	private Path logFile;

	@Option(name = "--duration-ms", usage = "how long requests other than GET take")
	private int durationMs;

	@Option(name = "--ignore-fencing", usage = "accept outdated fencing numbers")
	private boolean ignoreFencing;

	@Override
	public Map<String, Integer> start() {
		PlainService service = PlainService.start(this.port, this.adminPort,
				new ServiceOptions(this.logFile, this.durationMs, !this.ignoreFencing));
		return Map.of("port", service.port(), "adminPort", service.adminPort());
	}

}
