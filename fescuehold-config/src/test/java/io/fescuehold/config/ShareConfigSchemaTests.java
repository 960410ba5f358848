package io.fescuehold.config;

import java.io.IOException;
import java.io.InputStream;
import java.lang.reflect.RecordComponent;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a published schema that differs from the configuration records.
 */
class ShareConfigSchemaTests {

	private static final List<Class<?>> RECORD_TYPES = List.of(TeamSpec.class, ChatRule.class, ModelServerSpec.class,
			ServiceServerSpec.class, NonIdempotentRule.class, ServiceSpec.class, Release.class, Claim.class,
			PolicySpec.class);

	@Test
	void schemaListsThePropertiesOfEveryRecord() throws IOException {
		JsonNode schema = schema();
		assertThat(properties(schema)).isEqualTo(components(ShareConfig.class));
		for (Class<?> type : RECORD_TYPES) {
			assertThat(properties(schema.at("/$defs/" + type.getSimpleName()))).as(type.getSimpleName())
				.isEqualTo(components(type));
		}
	}

	@Test
	void schemaListsTheDefaultsOfThePolicy() throws IOException {
		JsonNode printed = new ObjectMapper().readTree(ConfigJson.canonicalBytes(ShareConfig.empty("s")));
		schema().at("/$defs/PolicySpec/properties")
			.properties()
			.forEach((property) -> assertThat(property.getValue().get("default").asDouble()).as(property.getKey())
				.isEqualTo(printed.at("/policy/" + property.getKey()).asDouble()));
	}

	private static JsonNode schema() throws IOException {
		try (InputStream stream = ShareConfig.class.getResourceAsStream("share-config.schema.json")) {
			return new ObjectMapper().readTree(stream);
		}
	}

	private static Set<String> properties(JsonNode schema) {
		Set<String> names = new TreeSet<>();
		schema.get("properties").fieldNames().forEachRemaining(names::add);
		return names;
	}

	private static Set<String> components(Class<?> type) {
		return new TreeSet<>(Arrays.stream(type.getRecordComponents()).map(RecordComponent::getName).toList());
	}

}
