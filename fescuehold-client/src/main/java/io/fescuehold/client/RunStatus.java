package io.fescuehold.client;

/**
 * Whether a failed request was run by a backend server.
 */
public enum RunStatus {

	/** The request was certainly not run. */
	NO,

	/** The request was run. */
	YES,

	/** The request may or may not have been run. */
	UNKNOWN;

	/**
	 * Parses the {@code run} property of an error response.
	 * @param value the value, or null
	 * @return the status, {@link #UNKNOWN} if the value is missing or unknown
	 */
	static RunStatus parse(String value) {
		return switch ((value != null) ? value : "") {
			case "no" -> NO;
			case "yes" -> YES;
			default -> UNKNOWN;
		};
	}

}
