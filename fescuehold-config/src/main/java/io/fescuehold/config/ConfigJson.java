package io.fescuehold.config;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

import com.fasterxml.jackson.core.JsonPointer;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * Prints and reads configurations as JSON. The printed form is canonical: equal
 * configurations print to equal bytes, with properties in a fixed order, maps sorted by
 * key and defaults written out.
 */
public final class ConfigJson {

	private static final JsonMapper MAPPER = JsonMapper.builder()
		.enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
		.enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY)
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
		.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
		.disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
		.build();

	private ConfigJson() {
	}

	/**
	 * Prints a configuration for people, indented and ending with a line feed.
	 * @param config the configuration
	 * @return the JSON text
	 */
	public static String print(ShareConfig config) {
		try {
			return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(config) + "\n";
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("A configuration record could not be written as JSON", ex);
		}
	}

	/**
	 * Returns the canonical form in UTF-8.
	 * @param config the configuration
	 * @return the bytes, without insignificant white space
	 */
	public static byte[] canonicalBytes(ShareConfig config) {
		try {
			return MAPPER.writeValueAsBytes(config);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("A configuration record could not be written as JSON", ex);
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
	 * @throws ConfigException if the text is not valid; its pointer names the place
	 */
	public static ShareConfig read(byte[] json) {
		try {
			return MAPPER.readValue(json, ShareConfig.class);
		}
		catch (JsonMappingException ex) {
			throw refusal(ex);
		}
		catch (JsonProcessingException ex) {
			throw new ConfigException("", "is not valid JSON at line " + ex.getLocation().getLineNr() + ", column "
					+ ex.getLocation().getColumnNr() + ": " + ex.getOriginalMessage() + "; correct the syntax");
		}
		catch (java.io.IOException ex) {
			throw new ConfigException("", "could not be read: " + ex.getMessage() + "; send it again");
		}
	}

	/**
	 * Reads a configuration.
	 * @param json the JSON text
	 * @return the configuration
	 * @throws ConfigException if the text is not valid; its pointer names the place
	 */
	public static ShareConfig read(String json) {
		return read(json.getBytes(StandardCharsets.UTF_8));
	}

	private static ConfigException refusal(JsonMappingException ex) {
		JsonPointer pointer = JsonPointer.empty();
		for (JsonMappingException.Reference reference : ex.getPath()) {
			pointer = (reference.getFieldName() != null) ? pointer.appendProperty(reference.getFieldName())
					: pointer.appendIndex(Math.max(0, reference.getIndex()));
		}
		if (ex.getCause() instanceof ConfigException cause) {
			String message = cause.getMessage().substring(cause.pointer().length() + ": ".length());
			return new ConfigException(pointer + cause.pointer(), message);
		}
		return new ConfigException(pointer.toString(), ex.getOriginalMessage() + "; correct or remove this value");
	}

}
