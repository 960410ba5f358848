package io.fescuehold.daemon.settings;

/**
 * The address for connections of other daemons, which are plain.
 *
 * @param address the IP number
 * @param port the port
 */
public record PeerSettings(String address, int port) {

	public PeerSettings {
		SettingsChecks.ipNumber("address", address);
		SettingsChecks.port("port", port);
	}

}
