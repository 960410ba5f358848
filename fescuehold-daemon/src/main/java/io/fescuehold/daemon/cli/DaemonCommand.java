package io.fescuehold.daemon.cli;

import java.nio.file.Path;

import io.fescuehold.daemon.Daemon;
import io.fescuehold.daemon.settings.DaemonSettings;
import io.fescuehold.daemon.settings.SettingsReader;
import org.kohsuke.args4j.Option;

/**
 * Runs a daemon in the foreground until it has drained. A termination signal starts a
 * drain as well.
 */
final class DaemonCommand implements Command {

	@Option(name = "--settings", metaVar = "FILE", usage = "settings file of the daemon", required = true)
	private Path settingsFile;

	@Option(name = "--check", usage = "only check the settings")
	private boolean checkOnly;

	@Override
	public int run(Console console) {
		DaemonSettings settings = SettingsReader.read(this.settingsFile);
		if (this.checkOnly) {
			console.message("the settings of host \"" + settings.hostId() + "\" are valid");
			return ExitCode.OK;
		}
		return Daemon.run(settings);
	}

}
