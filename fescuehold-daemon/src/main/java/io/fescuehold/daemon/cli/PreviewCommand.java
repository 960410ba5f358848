package io.fescuehold.daemon.cli;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;

import io.fescuehold.core.routes.RoutingConfig;
import io.fescuehold.core.routes.RoutingRules;
import org.kohsuke.args4j.Option;

/**
 * Prints what a configuration file would change in a running fleet, and whether it would
 * take effect at all.
 */
final class PreviewCommand extends RemoteCommand {

	private final GatewayTools tools;

	@Option(name = "--config", metaVar = "FILE", usage = "configuration file", required = true)
	private Path configFile;

	PreviewCommand(GatewayTools tools) {
		this.tools = tools;
	}

	@Override
	public int run(Console console) {
		RoutingConfig submitted = RoutingFiles.read(this.configFile, this.tools.codec());
		AdminClient.Reply reply = client().get(this.tools.configurationPath());
		if (!reply.isSuccess()) {
			return print(console, reply);
		}
		RoutingConfig inForce = this.tools.codec().decodeAccepted(reply.body().getBytes(StandardCharsets.UTF_8));
		Map<String, Object> result = DiffCommand.result(inForce, submitted);
		// The number in force may only be resubmitted with the same content; a lower
		// number has no effect.
		result.put("takesEffect", submitted.number() > inForce.number()
				&& RoutingRules.violationOfReplacement(inForce, submitted) == null);
		console.result(result);
		return ExitCode.OK;
	}

}
