package io.fescuehold.daemon.settings;

/**
 * The address for connections of other daemons, which do not use TLS.
 *
 * @param address the IP address
 * @param port the port
 */
public record PeerSettings(String address, int port) {

	public PeerSettings {
		SettingsChecks.ipAddress("address", address);
		SettingsChecks.port("port", port);
	}

}
