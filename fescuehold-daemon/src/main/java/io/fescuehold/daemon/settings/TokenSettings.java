package io.fescuehold.daemon.settings;

/**
 * A bearer token of an operator.
 *
 * @param name the name of the operator, shown in conflicts and logs
 * @param sha256 the SHA-256 of the token in lower-case hexadecimal
 * @param share the share that the token may read and change, or {@code *} to read all
 * @param role {@code admin} to read and change, {@code viewer} to read
 */
public record TokenSettings(String name, String sha256, String share, String role) {

	/** The role that may read and change the share. */
	public static final String ADMIN = "admin";

	/** The role that may only read the share. */
	public static final String VIEWER = "viewer";

	public TokenSettings {
		SettingsChecks.required("name", name);
		SettingsChecks.required("share", share);
		SettingsChecks.matches("sha256", sha256, "[0-9a-f]{64}", "64 lower-case hexadecimal digits");
		SettingsChecks.matches("role", role, ADMIN + "|" + VIEWER, "\"admin\" or \"viewer\"");
	}

}
