package io.fescuehold.daemon.settings;

import io.fescuehold.config.ConfigException;

/**
 * Checks shared by the settings records.
 */
final class SettingsChecks {

	private static final int MAX_PORT = 65_535;

	private static final String IP_NUMBER = "[0-9]{1,3}(\\.[0-9]{1,3}){3}|[0-9a-fA-F]*:[0-9a-fA-F:.]+";

	private SettingsChecks() {
	}

	/**
	 * Creates the refusal of a setting.
	 * @param field the field name, used as JSON pointer
	 * @param message the value seen and the remedy
	 * @return the exception
	 */
	static ConfigException refusal(String field, String message) {
		return new ConfigException("/" + field, message);
	}

	/**
	 * Checks that a setting is present.
	 * @param field the field name
	 * @param value the value seen
	 */
	static void required(String field, Object value) {
		if (value == null) {
			throw refusal(field, "is missing; add it");
		}
	}

	/**
	 * Checks that a number lies within a range.
	 * @param field the field name
	 * @param value the value seen
	 * @param min the smallest value allowed
	 * @param max the largest value allowed
	 */
	static void inRange(String field, long value, long min, long max) {
		if (value < min || value > max) {
			throw refusal(field,
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
	 * Checks a text against a pattern.
	 * @param field the field name
	 * @param value the text
	 * @param pattern the pattern
	 * @param description what the pattern allows, for the message
	 */
	static void matches(String field, String value, String pattern, String description) {
		required(field, value);
		if (!value.matches(pattern)) {
			throw refusal(field, "is \"" + value + "\" but must be " + description + "; correct it");
		}
	}

	/**
	 * Checks an IP number. Host names are refused because name servers may be out of
	 * reach.
	 * @param field the field name
	 * @param value the IP number
	 */
	static void ipNumber(String field, String value) {
		matches(field, value, IP_NUMBER, "an IP number such as 127.0.0.1");
	}

	/**
	 * Checks an address made of an IP number and a port.
	 * @param field the field name
	 * @param value the address
	 */
	static void socketAddress(String field, String value) {
		required(field, value);
		int colon = value.lastIndexOf(':');
		String port = value.substring(colon + 1);
		if (colon < 1 || !port.matches("[0-9]{1,5}")) {
			throw refusal(field,
					"is \"" + value + "\" but must be an IP number and a port such as 127.0.0.1:8101;" + " correct it");
		}
		ipNumber(field, value.substring(0, colon));
		port(field, Long.parseLong(port));
	}

}
