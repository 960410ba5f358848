package io.fescuehold.daemon.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import io.fescuehold.config.ConfigException;
import io.fescuehold.config.StrictJson;
import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;

/**
 * Reads and checks a settings file. Relative paths in it refer to the working directory
 * of the daemon.
 */
public final class SettingsReader {

	private SettingsReader() {
	}

	/**
	 * Reads a settings file.
	 * @param file the path of the file
	 * @return the checked settings
	 * @throws FescueholdException with code BAD_SETTING if a setting is invalid
	 */
	public static DaemonSettings read(Path file) {
		try {
			DaemonSettings settings = StrictJson.read(Files.readAllBytes(file), DaemonSettings.class);
			checkFiles(settings);
			return settings;
		}
		catch (ConfigException ex) {
			throw new FescueholdException(ErrorCode.BAD_SETTING, file, pointer(ex), ex.reason());
		}
		catch (IOException ex) {
			throw new FescueholdException(ErrorCode.BAD_SETTING, file, "the file",
					"cannot be read (" + ex.getMessage() + "); name a readable settings file");
		}
	}

	private static String pointer(ConfigException ex) {
		return ex.pointer().isEmpty() ? "the document" : ex.pointer();
	}

	private static void checkFiles(DaemonSettings settings) {
		if (settings.callers() != null) {
			checkTls("callers", settings.callers().tls());
		}
		checkTls("operators", settings.operators().tls());
		if (settings.dataFolder() != null) {
			Path folder = Path.of(settings.dataFolder());
			if (Files.exists(folder) && !Files.isDirectory(folder)) {
				throw SettingsChecks.invalid("dataFolder", "is \"" + folder
						+ "\", which is not a folder; name a folder or a path that does not exist yet");
			}
		}
	}

	private static void checkTls(String endpoint, TlsSettings tls) {
		if (tls == null) {
			return;
		}
		checkReadable(endpoint + "/tls/certificateFile", tls.certificateFile());
		checkReadable(endpoint + "/tls/keyFile", tls.keyFile());
	}

	private static void checkReadable(String field, String file) {
		if (!Files.isReadable(Path.of(file))) {
			throw SettingsChecks.invalid(field, "is \"" + file + "\", which cannot be read; name a readable PEM file");
		}
	}

}
