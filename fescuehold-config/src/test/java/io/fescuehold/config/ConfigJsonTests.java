package io.fescuehold.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import io.fescuehold.config.example.FijiExample;
import io.fescuehold.config.example.TaraweraExample;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against printed output that is not deterministic and against invalid
 * configurations that are read in part.
 */
class ConfigJsonTests {

	private static final Path EXAMPLES = Path.of("..", "examples");

	@Test
	void examplesArePrintedByteForByte() throws IOException {
		assertThat(Files.readString(EXAMPLES.resolve("tarawera.json")))
			.isEqualTo(ConfigJson.print(TaraweraExample.config()));
		assertThat(Files.readString(EXAMPLES.resolve("fiji.json"))).isEqualTo(ConfigJson.print(FijiExample.config()));
	}

	@Test
	void printedConfigurationIsReadBack() {
		ShareConfig config = TaraweraExample.config();
		assertThat(ConfigJson.read(ConfigJson.print(config))).isEqualTo(config);
		assertThat(ConfigJson.digest(config)).hasSize(64)
			.isEqualTo(ConfigJson.digest(ConfigJson.read(ConfigJson.print(config))));
	}

	@Test
	void digestIsIndependentOfOrderAndWhiteSpace() {
		String one = "{\"share\":\"s\",\"number\":1,\"teams\":{\"b\":{\"weight\":1},\"a\":{\"weight\":2}}}";
		String other = "{ \"teams\" : {\"a\":{\"weight\":2},\n\"b\":{\"weight\":1}}, \"number\":1, \"share\":\"s\"}";
		assertThat(ConfigJson.digest(ConfigJson.read(one))).isEqualTo(ConfigJson.digest(ConfigJson.read(other)));
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', quoteCharacter = '`',
			textBlock = """
					{"share":"s","number":1,"colour":2}                               | /colour                   | unknown property
					{"share":"s","number":"1"}                                        | /number                   | wrong type
					{"share":"s","number":1.5}                                        | /number                   | number
					{"share":"s","number":1,"number":2}                               |                           | Duplicate
					{"share":"s","number":1,"teams":{"t":{"weight":0}}}               | /teams/t/weight           | between 1 and 1000
					{"share":"s","number":1,"policy":{"loadBound":0.5}}               | /policy/loadBound         | between 1.05
					{"share":"s","number":1,"claims":[{"kind":"lamp","id":"x"}]}      | /claims/0/kind            | documented names
					{"share":"s","number":1,"modelServers":{"m":{"host":"h"}}}        | /modelServers/m           | port
					{"share":"s","number":1} x                                        |                           | correct the syntax
					null                                                              |                           | write a JSON object
					""")
	void rejectionNamesPointerAndReason(String json, String pointer, String message) {
		assertThatExceptionOfType(ConfigException.class).isThrownBy(() -> ConfigJson.read(json)).satisfies((ex) -> {
			assertThat(ex.pointer()).startsWith((pointer != null) ? pointer : "");
			assertThat(ex.getMessage()).contains(message);
		});
	}

}
