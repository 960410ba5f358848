package io.fescuehold.daemon.cli;

import java.nio.file.Path;

import io.fescuehold.runtime.gateway.RoutingCodec;

/**
 * Platform-specific operations that the commands for a gateway fleet use.
 */
public interface GatewayTools {

	/**
	 * Checks a settings file.
	 * @param file the file
	 * @return the settings as a value that Jackson can serialise; errors with code
	 * BAD_SETTING
	 */
	Object checkSettings(Path file);

	/**
	 * Returns the decoder of routing configurations.
	 * @return the codec
	 */
	RoutingCodec codec();

	/**
	 * Returns the path at which a daemon serves the newest configuration to operators.
	 * @return the path below the address for requests of operators
	 */
	String configurationPath();

}
