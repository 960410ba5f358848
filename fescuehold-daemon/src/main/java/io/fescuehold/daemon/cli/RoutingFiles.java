package io.fescuehold.daemon.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.routes.RoutingConfig;
import io.fescuehold.core.routes.RoutingRules;
import io.fescuehold.runtime.gateway.RoutingCodec;

/**
 * Reads routing configurations from files.
 */
final class RoutingFiles {

	private RoutingFiles() {
	}

	/**
	 * Reads and checks a configuration.
	 * @param file the file
	 * @param codec decodes the content
	 * @return the configuration; errors with code BAD_SETTING if the file cannot be read,
	 * with ROUTING_INVALID if a daemon would refuse it
	 */
	static RoutingConfig read(Path file, RoutingCodec codec) {
		RoutingConfig config = codec.decode(bytes(file));
		RoutingRules.check(config);
		return config;
	}

	/**
	 * Reads a file.
	 * @param file the file
	 * @return its content; errors with code BAD_SETTING if the file cannot be read
	 */
	static byte[] bytes(Path file) {
		try {
			return Files.readAllBytes(file);
		}
		catch (IOException ex) {
			throw new FescueholdException(ErrorCode.BAD_SETTING, file, "the file",
					"cannot be read (" + ex.getMessage() + "); name a readable configuration file");
		}
	}

}
