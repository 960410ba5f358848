package io.fescuehold.config;

/**
 * Thrown if a configuration is invalid. The message names the position, the invalid value
 * and the remedy.
 */
public class ConfigException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final String pointer;

	private final String reason;

	/**
	 * Creates the exception.
	 * @param pointer the JSON pointer of the invalid value, relative to the object that
	 * holds it
	 * @param message the invalid value and the remedy
	 */
	public ConfigException(String pointer, String message) {
		super((pointer.isEmpty() ? "the document" : pointer) + " " + message);
		this.pointer = pointer;
		this.reason = message;
	}

	/**
	 * Returns the JSON pointer of the invalid value.
	 * @return the pointer, relative to the object that holds it
	 */
	public String pointer() {
		return this.pointer;
	}

	/**
	 * Returns the invalid value and the remedy, without the pointer.
	 * @return the reason
	 */
	public String reason() {
		return this.reason;
	}

}
