package io.fescuehold.daemon.settings;

/**
 * Files for TLS.
 *
 * @param certificateFile the path of the certificate chain in PEM format
 * @param keyFile the path of the PKCS#8 private key in PEM format
 */
public record TlsSettings(String certificateFile, String keyFile) {

	public TlsSettings {
		SettingsChecks.required("certificateFile", certificateFile);
		SettingsChecks.required("keyFile", keyFile);
	}

}
