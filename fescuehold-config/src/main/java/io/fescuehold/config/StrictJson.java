package io.fescuehold.config;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonPointer;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.cfg.CoercionAction;
import com.fasterxml.jackson.databind.cfg.CoercionInputShape;
import com.fasterxml.jackson.databind.exc.InvalidFormatException;
import com.fasterxml.jackson.databind.exc.MismatchedInputException;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.type.LogicalType;

/**
 * Reads JSON into records and rejects unknown and duplicate properties, wrong types and
 * trailing text. Error messages name the JSON pointer, the line, the invalid value and
 * the remedy.
 */
public final class StrictJson {

	private static final JsonMapper MAPPER = JsonMapper.builder()
		.enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
		.enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
		.disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
		.enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
		.disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
		.withCoercionConfig(LogicalType.Textual,
				(config) -> config.setCoercion(CoercionInputShape.Integer, CoercionAction.Fail)
					.setCoercion(CoercionInputShape.Float, CoercionAction.Fail)
					.setCoercion(CoercionInputShape.Boolean, CoercionAction.Fail))
		.build();

	private StrictJson() {
	}

	/**
	 * Returns the mapper, for serialisation.
	 * @return the mapper
	 */
	static JsonMapper mapper() {
		return MAPPER;
	}

	/**
	 * Reads a value.
	 * @param json the JSON text in UTF-8
	 * @param type the type to read
	 * @param <T> the type to read
	 * @return the value
	 * @throws ConfigException if the text is not valid
	 */
	public static <T> T read(byte[] json, Class<T> type) {
		try {
			T value = MAPPER.readValue(json, type);
			if (value == null) {
				throw new ConfigException("", "is null; write a JSON object");
			}
			return value;
		}
		catch (JsonMappingException ex) {
			throw toConfigException(ex);
		}
		catch (JsonProcessingException ex) {
			throw new ConfigException("", "is not valid JSON" + at(ex.getLocation()) + ": " + ex.getOriginalMessage()
					+ "; correct the syntax");
		}
		catch (IOException ex) {
			throw new ConfigException("", "could not be read: " + ex.getMessage() + "; send it again");
		}
	}

	private static ConfigException toConfigException(JsonMappingException ex) {
		String pointer = pointer(ex);
		if (ex.getCause() instanceof ConfigException cause) {
			return new ConfigException(pointer + cause.pointer(), cause.reason() + at(ex.getLocation()));
		}
		return new ConfigException(pointer, reason(ex) + at(ex.getLocation()));
	}

	private static String pointer(JsonMappingException ex) {
		JsonPointer pointer = JsonPointer.empty();
		for (JsonMappingException.Reference reference : ex.getPath()) {
			pointer = (reference.getFieldName() != null) ? pointer.appendProperty(reference.getFieldName())
					: pointer.appendIndex(Math.max(0, reference.getIndex()));
		}
		return pointer.toString();
	}

	private static String reason(JsonMappingException ex) {
		return switch (ex) {
			case UnrecognizedPropertyException unknown -> "is an unknown property; use one of "
					+ unknown.getKnownPropertyIds().stream().map(Object::toString).sorted().toList();
			case InvalidFormatException format -> "is \"" + format.getValue() + "\", which is not "
					+ describe(format.getTargetType()) + "; correct the value";
			case MismatchedInputException mismatch -> "has the wrong type; write " + describe(mismatch.getTargetType());
			default -> ex.getOriginalMessage() + "; correct or remove this value";
		};
	}

	private static String describe(Class<?> type) {
		if (type == null) {
			return "a value of the documented type";
		}
		if (type.isEnum()) {
			return "one of the documented names";
		}
		if (Number.class.isAssignableFrom(type) || type.isPrimitive() && type != boolean.class) {
			return "a number";
		}
		return switch (type.getSimpleName()) {
			case "boolean", "Boolean" -> "true or false";
			case "String" -> "a string";
			case "List" -> "an array";
			default -> "an object";
		};
	}

	private static String at(JsonLocation location) {
		return (location != null && location.getLineNr() > 0) ? " (line " + location.getLineNr() + ")" : "";
	}

}
