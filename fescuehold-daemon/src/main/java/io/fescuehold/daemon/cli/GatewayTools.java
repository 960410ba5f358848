package io.fescuehold.daemon.cli;

import java.nio.file.Path;

import io.fescuehold.runtime.gateway.RoutingCodec;

/**
 * What the commands for a gateway fleet need to know of the platform that it runs on.
 */
public interface GatewayTools {

	/**
	 * Checks a settings file.
	 * @param file the file
	 * @return the settings in a form that Jackson can write; errors with code BAD_SETTING
	 */
	Object checkSettings(Path file);

	/**
	 * Returns what reads configurations.
	 * @return the codec
	 */
	RoutingCodec codec();

	/**
	 * Returns where a daemon serves the newest configuration to operators.
	 * @return the path below the address of the operators' calls
	 */
	String configurationPath();

}
