package io.fescuehold.daemon.cli;

import java.nio.file.Path;
import java.util.Map;

import io.fescuehold.core.routes.RoutingConfig;
import org.kohsuke.args4j.Option;

/**
 * Checks a settings file or a routing configuration without starting a daemon.
 */
final class GatewayCheckCommand implements Command {

	private final GatewayTools tools;

	@Option(name = "--settings", metaVar = "FILE", usage = "settings file of a daemon", forbids = "--config")
	private Path settingsFile;

	@Option(name = "--config", metaVar = "FILE", usage = "configuration file")
	private Path configFile;

	GatewayCheckCommand(GatewayTools tools) {
		this.tools = tools;
	}

	@Override
	public int run(Console console) {
		if (this.settingsFile != null) {
			console.result(Map.of("ok", true, "settings", this.tools.checkSettings(this.settingsFile)));
			return ExitCode.OK;
		}
		if (this.configFile != null) {
			RoutingConfig config = RoutingFiles.read(this.configFile, this.tools.codec());
			console.result(Map.of("ok", true, "number", config.number(), "routes", config.routes().size(), "services",
					config.services().size(), "teams", config.teams().size()));
			return ExitCode.OK;
		}
		console.message("nothing to check; name a file with --settings or --config");
		return ExitCode.USAGE;
	}

}
