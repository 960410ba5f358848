package io.fescuehold.config;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

import com.fasterxml.jackson.core.JsonProcessingException;

/**
 * Prints and reads configurations as JSON. The printed form is canonical: equal
 * configurations print to equal bytes, with properties in a fixed order, maps sorted by
 * key and defaults written out.
 */
public final class ConfigJson {

	private ConfigJson() {
	}

	/**
	 * Prints a configuration in human-readable form, indented and ending with a line
	 * feed.
	 * @param config the configuration
	 * @return the JSON text
	 */
	public static String print(ShareConfig config) {
		try {
			return StrictJson.mapper().writerWithDefaultPrettyPrinter().writeValueAsString(config) + "\n";
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("Failed to serialise the configuration as JSON", ex);
		}
	}

	/**
	 * Returns the canonical form in UTF-8.
	 * @param config the configuration
	 * @return the bytes, without insignificant white space
	 */
	public static byte[] canonicalBytes(ShareConfig config) {
		try {
			return StrictJson.mapper().writeValueAsBytes(config);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("Failed to serialise the configuration as JSON", ex);
		}
	}

	/**
	 * Returns the digest that identifies the content of a configuration.
	 * @param config the configuration
	 * @return the SHA-256 of the canonical form in lower-case hexadecimal
	 */
	public static String digest(ShareConfig config) {
		try {
			return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(canonicalBytes(config)));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is missing from this Java runtime", ex);
		}
	}

	/**
	 * Reads a configuration.
	 * @param json the JSON text
	 * @return the configuration
	 * @throws ConfigException if the text is not valid; its pointer names the position
	 */
	public static ShareConfig read(byte[] json) {
		return StrictJson.read(json, ShareConfig.class);
	}

	/**
	 * Reads a configuration.
	 * @param json the JSON text
	 * @return the configuration
	 * @throws ConfigException if the text is not valid; its pointer names the position
	 */
	public static ShareConfig read(String json) {
		return read(json.getBytes(StandardCharsets.UTF_8));
	}

}
