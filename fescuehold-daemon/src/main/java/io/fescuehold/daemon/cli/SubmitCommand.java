package io.fescuehold.daemon.cli;

import java.nio.file.Path;

import io.fescuehold.config.ConfigJson;
import io.fescuehold.config.ShareConfig;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/**
 * Submits a configuration. The command can safely be repeated: the same content under the
 * same number returns the outcome of the first submission.
 */
final class SubmitCommand extends RemoteCommand {

	@Argument(metaVar = "FILE", usage = "configuration file of the share", required = true)
	private Path file;

	@Option(name = "--dry-run", usage = "only print what would change")
	private boolean dryRun;

	@Override
	public int run(Console console) {
		ShareConfig config = CheckCommand.readConfig(this.file);
		String path = "/fescuehold/v1/shares/" + config.share() + "/submit" + (this.dryRun ? "?dryRun=true" : "");
		return print(console, client().post(path, ConfigJson.print(config)));
	}

}
