package io.fescuehold.config;

/**
 * Validation methods shared by the configuration records.
 */
final class Checks {

	static final int MAX_PORT = 65_535;

	static final int MAX_NAME_LENGTH = 100;

	private Checks() {
	}

	/**
	 * Checks that a number lies within a range.
	 * @param field the field name, used as JSON pointer
	 * @param value the value
	 * @param min the smallest allowed value
	 * @param max the largest allowed value
	 */
	static void inRange(String field, long value, long min, long max) {
		if (value < min || value > max) {
			throw new ConfigException("/" + field,
					"is " + value + " but must lie between " + min + " and " + max + "; set it within that range");
		}
	}

	/**
	 * Checks that a fraction lies within a range.
	 * @param field the field name, used as JSON pointer
	 * @param value the value
	 * @param min the smallest allowed value
	 * @param max the largest allowed value
	 */
	static void inRange(String field, double value, double min, double max) {
		if (!(value >= min && value <= max)) {
			throw new ConfigException("/" + field,
					"is " + value + " but must lie between " + min + " and " + max + "; set it within that range");
		}
	}

	/**
	 * Checks that a value is present.
	 * @param field the field name, used as JSON pointer
	 * @param value the value
	 */
	static void required(String field, Object value) {
		if (value == null) {
			throw new ConfigException("/" + field, "is missing; add it");
		}
	}

	/**
	 * Checks that a name is present, short and made of letters, digits, dots, hyphens,
	 * underscores and colons.
	 * @param field the field name, used as JSON pointer
	 * @param value the value
	 */
	static void name(String field, String value) {
		required(field, value);
		if (value.length() > MAX_NAME_LENGTH || !value.matches("[A-Za-z0-9][A-Za-z0-9._:-]*")) {
			throw new ConfigException("/" + field, "is \"" + value + "\" but must be 1 to " + MAX_NAME_LENGTH
					+ " letters, digits, '.', '-', '_' or ':', beginning with a letter or digit; rename it");
		}
	}

}
