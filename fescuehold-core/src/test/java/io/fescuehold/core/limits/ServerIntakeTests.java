package io.fescuehold.core.limits;

import java.util.List;

import io.fescuehold.core.servers.BackendServer;
import io.fescuehold.core.servers.ServerState;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests to servers that leave (DRAIN) or rest (BUDGET), and against an
 * outage because of a wrong or outdated statement.
 */
class ServerIntakeTests {

	private static final ServerState SERVER = ServerState
		.unlisted(new BackendServer("i-1", "service", "127.0.0.1:1", "a", 4, false, null));

	private final ServerIntake intake = new ServerIntake();

	@Test
	void restLastsAsLongAsTheServerSaid() {
		assertThat(this.intake.recordRest("i-1", 3_000, 1_000)).isTrue();
		assertThat(this.intake.recordRest("i-1", 500, 2_000)).isFalse();
		assertThat(this.intake.isResting("i-1", 3_999)).isTrue();
		assertThat(this.intake.isResting("i-1", 4_000)).isFalse();
		assertThat(this.intake.isResting("i-2", 2_000)).isFalse();
	}

	@Test
	void absurdRestsAreBounded() {
		this.intake.recordRest("i-1", Long.MAX_VALUE, 0);
		assertThat(this.intake.isResting("i-1", ServerIntake.MAX_REST_MS - 1)).isTrue();
		assertThat(this.intake.isResting("i-1", ServerIntake.MAX_REST_MS)).isFalse();
		this.intake.recordRest("i-2", -5, 0);
		assertThat(this.intake.isResting("i-2", 0)).isFalse();
	}

	@Test
	void earliestEndOfAllRestsCounts() {
		this.intake.recordRest("i-1", 3_000, 0);
		this.intake.recordRest("i-2", 1_000, 0);
		assertThat(this.intake.earliestRestEndMs(List.of("i-1", "i-2"), 0)).isEqualTo(1_000);
		assertThat(this.intake.earliestRestEndMs(List.of("i-1", "i-3"), 500)).isEqualTo(500);
	}

	@Test
	void leavingCountsFromTheFirstStatement() {
		assertThat(this.intake.recordLeaving("i-1", true, 0, 100)).isTrue();
		assertThat(this.intake.recordLeaving("i-1", true, 50, 900)).isFalse();
		assertThat(this.intake.leavingMs(SERVER, 1_100)).isEqualTo(1_000);
		assertThat(this.intake.maySend(SERVER, 1_500, 1_500)).isTrue();
		assertThat(this.intake.maySend(SERVER, 1_500, 1_600)).isFalse();
	}

	@Test
	void overtakenResponseDoesNotEndLeaving() {
		this.intake.recordLeaving("i-1", true, 0, 100);
		assertThat(this.intake.recordLeaving("i-1", false, 50, 200)).isFalse();
		assertThat(this.intake.leavingMs(SERVER, 300)).isPositive();
		assertThat(this.intake.recordLeaving("i-1", false, 150, 200)).isTrue();
		assertThat(this.intake.leavingMs(SERVER, 300)).isNegative();
	}

	@Test
	void statementsEndWithTheProcess() {
		this.intake.recordLeaving("i-1", true, 0, 100);
		this.intake.recordRest("i-1", 3_000, 100);
		this.intake.forget("i-1");
		assertThat(this.intake.maySend(SERVER, 0, 200)).isTrue();
	}

	@Test
	void serverIsTriedAgainWhenNothingWasHeardOfItForLong() {
		this.intake.recordLeaving("i-1", true, 0, 0);
		assertThat(this.intake.leavingMs(SERVER, ServerIntake.LEAVING_EXPIRY_MS - 1)).isPositive();
		assertThat(this.intake.leavingMs(SERVER, ServerIntake.LEAVING_EXPIRY_MS)).isNegative();
		this.intake.expire(ServerIntake.LEAVING_EXPIRY_MS);
		assertThat(this.intake.maySend(SERVER, 0, 0)).isTrue();
	}

}
