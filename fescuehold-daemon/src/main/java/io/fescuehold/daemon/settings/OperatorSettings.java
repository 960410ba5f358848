package io.fescuehold.daemon.settings;

import java.util.List;

/**
 * The address of the administration API and the tokens that it accepts.
 *
 * @param address the IP address
 * @param port the port
 * @param tls the files for TLS, or null for plain connections
 * @param tokens the bearer tokens
 */
public record OperatorSettings(String address, int port, TlsSettings tls, List<TokenSettings> tokens) {

	public OperatorSettings {
		SettingsChecks.ipAddress("address", address);
		SettingsChecks.port("port", port);
		tokens = (tokens != null) ? List.copyOf(tokens) : List.of();
	}

}
