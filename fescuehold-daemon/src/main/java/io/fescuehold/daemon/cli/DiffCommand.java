package io.fescuehold.daemon.cli;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

import io.fescuehold.core.routes.RoutingConfig;
import io.fescuehold.core.routes.RoutingDiff;
import org.kohsuke.args4j.Option;

/**
 * Prints the differences between two configuration files.
 */
final class DiffCommand implements Command {

	private final GatewayTools tools;

	@Option(name = "--before", metaVar = "FILE", usage = "configuration file to compare with", required = true)
	private Path beforeFile;

	@Option(name = "--after", metaVar = "FILE", usage = "configuration file that would follow it", required = true)
	private Path afterFile;

	DiffCommand(GatewayTools tools) {
		this.tools = tools;
	}

	@Override
	public int run(Console console) {
		console.result(result(RoutingFiles.read(this.beforeFile, this.tools.codec()),
				RoutingFiles.read(this.afterFile, this.tools.codec())));
		return ExitCode.OK;
	}

	/**
	 * Describes the differences.
	 * @param before the configuration before
	 * @param after the configuration after
	 * @return the numbers of both configurations and the differences
	 */
	static Map<String, Object> result(RoutingConfig before, RoutingConfig after) {
		Map<String, Object> result = new LinkedHashMap<>();
		result.put("before", before.number());
		result.put("after", after.number());
		result.put("changes", RoutingDiff.between(before, after));
		return result;
	}

}
