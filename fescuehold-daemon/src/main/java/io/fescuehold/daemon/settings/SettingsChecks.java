package io.fescuehold.daemon.settings;

import io.fescuehold.config.ConfigException;

/**
 * Validation methods shared by the settings records.
 */
final class SettingsChecks {

	private static final int MAX_PORT = 65_535;

	private static final String IP_ADDRESS = "[0-9]{1,3}(\\.[0-9]{1,3}){3}|[0-9a-fA-F]*:[0-9a-fA-F:.]+";

	private SettingsChecks() {
	}

	/**
	 * Creates the exception for an invalid setting.
	 * @param field the field name, used as JSON pointer
	 * @param message the invalid value and the remedy
	 * @return the exception
	 */
	static ConfigException invalid(String field, String message) {
		return new ConfigException("/" + field, message);
	}

	/**
	 * Checks that a setting is present.
	 * @param field the field name
	 * @param value the value
	 */
	static void required(String field, Object value) {
		if (value == null) {
			throw invalid(field, "is missing; add it");
		}
	}

	/**
	 * Checks that a number lies within a range.
	 * @param field the field name
	 * @param value the value
	 * @param min the smallest allowed value
	 * @param max the largest allowed value
	 */
	static void inRange(String field, long value, long min, long max) {
		if (value < min || value > max) {
			throw invalid(field,
					"is " + value + " but must lie between " + min + " and " + max + "; set it within that range");
		}
	}

	/**
	 * Checks a port.
	 * @param field the field name
	 * @param port the port
	 */
	static void port(String field, long port) {
		inRange(field, port, 1, MAX_PORT);
	}

	/**
	 * Checks a string against a pattern.
	 * @param field the field name
	 * @param value the string
	 * @param pattern the regular expression
	 * @param description what the pattern allows, for the error message
	 */
	static void matches(String field, String value, String pattern, String description) {
		required(field, value);
		if (!value.matches(pattern)) {
			throw invalid(field, "is \"" + value + "\" but must be " + description + "; correct it");
		}
	}

	/**
	 * Checks an IP address. Host names are rejected because name servers may be
	 * unreachable.
	 * @param field the field name
	 * @param value the IP address
	 */
	static void ipAddress(String field, String value) {
		matches(field, value, IP_ADDRESS, "an IP address such as 127.0.0.1");
	}

	/**
	 * Checks an address that consists of an IP address and a port.
	 * @param field the field name
	 * @param value the address as {@code IP:PORT}
	 */
	static void socketAddress(String field, String value) {
		required(field, value);
		int colon = value.lastIndexOf(':');
		String port = value.substring(colon + 1);
		if (colon < 1 || !port.matches("[0-9]{1,5}")) {
			throw invalid(field, "is \"" + value + "\" but must be an IP address and a port such as 127.0.0.1:8101;"
					+ " correct it");
		}
		ipAddress(field, value.substring(0, colon));
		port(field, Long.parseLong(port));
	}

}
