package io.fescuehold.daemon.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

import io.fescuehold.config.ConfigException;
import io.fescuehold.config.ConfigJson;
import io.fescuehold.config.ShareConfig;
import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.daemon.settings.DaemonSettings;
import io.fescuehold.daemon.settings.SettingsReader;
import org.kohsuke.args4j.Option;

/**
 * Checks a settings file or a configuration file without starting a daemon.
 */
final class CheckCommand implements Command {

	@Option(name = "--settings", metaVar = "FILE", usage = "settings file of a daemon", forbids = "--config")
	private Path settingsFile;

	@Option(name = "--config", metaVar = "FILE", usage = "configuration file of a share")
	private Path configFile;

	@Override
	public int run(Console console) {
		if (this.settingsFile != null) {
			DaemonSettings settings = SettingsReader.read(this.settingsFile);
			console.result(Map.of("ok", true, "hostId", settings.hostId(), "roles", settings.roles()));
			return ExitCode.OK;
		}
		if (this.configFile != null) {
			ShareConfig config = readConfig(this.configFile);
			console.result(Map.of("ok", true, "share", config.share(), "number", config.number(), "digest",
					ConfigJson.digest(config)));
			return ExitCode.OK;
		}
		console.message("nothing to check; name a file with --settings or --config");
		return ExitCode.USAGE;
	}

	/**
	 * Reads a configuration file.
	 * @param file the file
	 * @return the configuration
	 */
	static ShareConfig readConfig(Path file) {
		try {
			return ConfigJson.read(Files.readAllBytes(file));
		}
		catch (ConfigException ex) {
			throw new FescueholdException(ErrorCode.BAD_SETTING, file,
					ex.pointer().isEmpty() ? "the document" : ex.pointer(), ex.reason());
		}
		catch (IOException ex) {
			throw new FescueholdException(ErrorCode.BAD_SETTING, file, "the file",
					"cannot be read (" + ex.getMessage() + "); name a readable configuration file");
		}
	}

}
