package io.fescuehold.core.limits;

import java.util.Locale;

/**
 * The priority of a request within its team.
 */
public enum Priority {

	/** Served first and refused last. */
	HIGH,

	/** The default. */
	NORMAL,

	/** Served last and refused first. */
	LOW;

	/**
	 * Parses the value of the {@code Fescuehold-Priority} header.
	 * @param value the value, or null
	 * @return the priority, which is normal if the value is null, or null if the value is
	 * not a priority
	 */
	public static Priority parse(String value) {
		if (value == null) {
			return NORMAL;
		}
		return switch (value.trim().toLowerCase(Locale.ROOT)) {
			case "high" -> HIGH;
			case "normal" -> NORMAL;
			case "low" -> LOW;
			default -> null;
		};
	}

}
