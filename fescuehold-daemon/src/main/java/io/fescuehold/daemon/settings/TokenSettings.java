package io.fescuehold.daemon.settings;

/**
 * A bearer token of an operator.
 *
 * @param name the name of the operator, shown in conflicts and logs
 * @param sha256 the SHA-256 of the token in lower-case hexadecimal
 * @param share the share that the token may see and change, or {@code *} to see all
 * @param role {@code admin} to change, {@code viewer} to see
 */
public record TokenSettings(String name, String sha256, String share, String role) {

	/** The role that may change the share. */
	public static final String ADMIN = "admin";

	/** The role that may only see the share. */
	public static final String VIEWER = "viewer";

	public TokenSettings {
		SettingsChecks.required("name", name);
		SettingsChecks.required("share", share);
		SettingsChecks.matches("sha256", sha256, "[0-9a-f]{64}", "64 lower-case hexadecimal digits");
		SettingsChecks.matches("role", role, ADMIN + "|" + VIEWER, "\"admin\" or \"viewer\"");
	}

}
