package io.fescuehold.standin.service;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.http.HttpTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

import io.fescuehold.standin.TestHttp;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against a service stand-in that miscounts executions, which would hide calls
 * that run twice.
 */
class PlainServiceTests {

	@TempDir
	private Path folder;

	private Path log;

	private PlainService service;

	@BeforeEach
	void start() {
		this.log = this.folder.resolve("executions.jsonl");
		this.service = PlainService.start(new ServiceOptions(this.log, 0, true));
	}

	@AfterEach
	void close() {
		this.service.close();
	}

	private int post(String key, long fencingNumber) {
		return TestHttp
			.send("POST", this.service.port(), "/orders", "{}", "Idempotency-Key", key, "Fescuehold-Fencing-Number",
					Long.toString(fencingNumber))
			.statusCode();
	}

	/**
	 * Guards against repeated executions that are hidden because the service recognises
	 * the key.
	 */
	@Test
	void eachExecutionIsCountedAndLogged() throws IOException {
		post("k", 1);
		post("k", 2);
		assertThat(this.service.executions().of("k")).isEqualTo(2);
		assertThat(Files.readAllLines(this.log)).hasSize(2)
			.first()
			.asString()
			.contains("\"key\":\"k\"", "\"fencingNumber\":1", "\"method\":\"POST\"", "\"path\":\"/orders\"");
		assertThat(TestHttp.send("GET", this.service.port(), "/executions", "").body()).contains("\"k\":2");
	}

	/**
	 * Guards against executions that are lost at a restart or after a kill during a
	 * write.
	 */
	@Test
	void countsSurviveARestartAndATornLine() throws IOException {
		post("k", 1);
		this.service.close();
		Files.writeString(this.log, "{\"key\":\"k\",\"fenc", StandardOpenOption.APPEND);
		this.service = PlainService.start(new ServiceOptions(this.log, 0, true));
		assertThat(this.service.executions().of("k")).isEqualTo(1);
		post("k", 2);
		this.service.close();
		this.service = PlainService.start(new ServiceOptions(this.log, 0, true));
		assertThat(this.service.executions().of("k")).isEqualTo(2);
	}

	/** Guards against the execution of a call from an outdated router. */
	@Test
	void outdatedFencingNumberIsRejectedForItsKeyOnly() {
		assertThat(post("k", 5)).isEqualTo(200);
		assertThat(post("k", 4)).isEqualTo(412);
		assertThat(post("other", 4)).isEqualTo(200);
		assertThat(this.service.executions().of("k")).isEqualTo(1);
	}

	/** Guards against a fault that skips the execution or sends a response. */
	@Test
	void executeThenDropExecutesOnceAndGivesNoAnswer() {
		this.service.faults(ServiceFaults.EXECUTE_THEN_DROP.withTimes(1));
		assertThatExceptionOfType(UncheckedIOException.class).isThrownBy(() -> post("k", 1));
		assertThat(this.service.executions().of("k")).isEqualTo(1);
		assertThat(post("k2", 2)).isEqualTo(200);
	}

	/** Guards against a fault that executes the call. */
	@Test
	void dropBeforeExecuteExecutesNothing() {
		this.service.faults(ServiceFaults.DROP_BEFORE_EXECUTE);
		assertThatExceptionOfType(UncheckedIOException.class).isThrownBy(() -> post("k", 1));
		assertThat(this.service.executions().total()).isZero();
	}

	/** Guards against a silent fault that closes the connection. */
	@Test
	void silentFaultExecutesAndKeepsTheConnectionOpen() {
		this.service.faults(ServiceFaults.SILENT);
		assertThatExceptionOfType(UncheckedIOException.class).isThrownBy(() -> post("k", 1))
			.withCauseInstanceOf(HttpTimeoutException.class);
		assertThat(this.service.executions().of("k")).isEqualTo(1);
	}

	/** Guards against responses that differ between the servers of a service. */
	@Test
	void answerDependsOnTheRequestOnly() {
		String first = TestHttp.send("POST", this.service.port(), "/a", "body").body();
		try (PlainService other = PlainService.start(new ServiceOptions(this.folder.resolve("other.jsonl"), 0, true))) {
			assertThat(TestHttp.send("POST", other.port(), "/a", "body").body()).isEqualTo(first);
			assertThat(TestHttp.send("POST", other.port(), "/a", "other").body()).isNotEqualTo(first);
		}
	}

}
