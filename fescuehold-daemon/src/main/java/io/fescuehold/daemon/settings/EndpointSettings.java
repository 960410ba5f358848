package io.fescuehold.daemon.settings;

/**
 * An address that the daemon listens on.
 *
 * @param address the IP address
 * @param port the port
 * @param tls the files for TLS, or null for plain connections
 */
public record EndpointSettings(String address, int port, TlsSettings tls) {

	public EndpointSettings {
		SettingsChecks.ipAddress("address", address);
		SettingsChecks.port("port", port);
	}

}
