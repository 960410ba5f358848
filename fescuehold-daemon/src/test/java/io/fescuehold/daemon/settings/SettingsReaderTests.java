package io.fescuehold.daemon.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Pattern;

import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against daemons that start with invalid or contradictory settings.
 */
class SettingsReaderTests {

	private static final String VALID = """
			{"hostId": "entry-1", "failureDomain": "a", "roles": ["router", "replica"],
			 "dataFolder": "run/entry-1",
			 "callers": {"address": "127.0.0.1", "port": 8101},
			 "peers": {"address": "127.0.0.1", "port": 9101},
			 "operators": {"address": "127.0.0.1", "port": 7101, "tokens": []},
			 "fleet": [{"hostId": "entry-1", "failureDomain": "a", "callerAddress": "127.0.0.1:8101",
			  "peerAddress": "127.0.0.1:9101", "roles": ["router", "replica"]}],
			 "shares": [{"share": "north", "replicaHostIds": ["entry-1"]}]}
			""";

	@TempDir
	private Path folder;

	@Test
	void readsValidSettingsWithDefaults() throws IOException {
		DaemonSettings settings = read(VALID);
		assertThat(settings.hasRole(Role.REPLICA)).isTrue();
		assertThat(settings.timing()).isEqualTo(TimingSettings.DEFAULT);
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', quoteCharacter = '`',
			textBlock = """
					"hostId": "entry-1", "failureDomain" | "hostId": "entry-9", "failureDomain" | /hostId: is "entry-9"
					"port": 8101                         | "port": 81010                        | /callers/port: is 81010
					"port": 8101                         | "port": "8101"                       | /callers/port: has the wrong type
					"port": 9101                         | "port": 8101                         | /peers/port: is 8101
					"dataFolder": "run/entry-1",         | ` `                                  | /dataFolder: is missing
					["router", "replica"],               | ["router", "cook"],                  | /roles/1: is "cook"
					["entry-1"]                          | ["entry-1", "entry-1", "entry-1"]    | /shares/0/replicaHostIds: lists a host twice
					["entry-1"]                          | ["entry-2"]                          | /shares/0/replicaHostIds: lists "entry-2"
					["entry-1"]                          | ["entry-1", "entry-2"]               | /shares/0/replicaHostIds: has 2 hosts
					"tokens": []                         | "tokens": [], "tls": {"certificateFile": "none.pem", "keyFile": "none.pem"} | /operators/tls/certificateFile: is "none.pem"
					"tokens": []                         | "tokenz": []                         | /operators/tokenz: is an unknown property
					"dataFolder"                         | "timing": {"leaseMs": 900}, "dataFolder" | /timing/leaseMs: is 900
					"127.0.0.1:9101"                     | "entry-1.example:9101"               | /fleet/0/peerAddress: is "entry-1.example"
					{"hostId": "entry-1", "failureDomain": "a", "roles" | {"roles"              | /hostId: is missing
					""")
	void rejectionNamesFilePointerAndValue(String part, String replacement, String message) {
		assertThat(VALID).contains(part);
		assertThatExceptionOfType(FescueholdException.class)
			.isThrownBy(() -> read(VALID.replaceFirst(Pattern.quote(part), replacement)))
			.satisfies((ex) -> {
				assertThat(ex.code()).isEqualTo(ErrorCode.BAD_SETTING);
				assertThat(ex.getMessage()).startsWith(this.folder.toString()).contains(message);
			});
	}

	private DaemonSettings read(String json) throws IOException {
		Path file = this.folder.resolve("settings.json");
		Files.writeString(file, json);
		return SettingsReader.read(file);
	}

}
