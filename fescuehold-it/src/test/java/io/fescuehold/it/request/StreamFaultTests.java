package io.fescuehold.it.request;

import java.time.Duration;

import io.fescuehold.it.harness.Eventually;
import io.fescuehold.standin.modelserver.ModelFaults;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against streams that are cut off, repeated, mixed up or stalled when one part of
 * the request path fails mid-stream.
 */
class StreamFaultTests extends AbstractRequestTests {

	/** The longest stall that a caller may see, from the requirements. */
	private static final long STALL_LIMIT_MS = 2_000;

	private static final Duration ANSWER_LIMIT = Duration.ofSeconds(20);

	private static final int UNDER_WAY = 10;

	private StreamRun stream(String chat) {
		return StreamRun.start(this.client, chat).awaitPieces(UNDER_WAY);
	}

	private static void assertWhole(StreamRun run) {
		run.await(ANSWER_LIMIT);
		System.out.println("largest stall " + run.largestGapMs() + " ms");
		assertThat(run.complete()).as(run.describe()).isTrue();
		assertThat(run.largestGapMs()).as("largest stall in ms").isLessThan(STALL_LIMIT_MS);
	}

	/** Guards against a stream that is lost with its router. */
	@Test
	void routerKilledMidStream() {
		String router = fleet.routerOf("killed-router");
		StreamRun run = stream("killed-router");
		assertThat(fleet.callers(router).openConnections()).isPositive();
		fleet.process(router).kill();
		assertWhole(run);
	}

	/** Guards against a caller that waits for a frozen router beyond the stall limit. */
	@Test
	void routerFrozenMidStream() {
		String router = fleet.routerOf("frozen-router");
		StreamRun run = stream("frozen-router");
		fleet.process(router).freeze();
		assertWhole(run);
	}

	/** Guards against a stream that is lost with its model server. */
	@Test
	void modelServerKilledMidStream() {
		StreamRun run = stream("killed-server");
		fleet.process(fleet.busyModelServer()).kill();
		assertWhole(run);
	}

	/** Guards against a router that waits for a frozen server beyond the stall limit. */
	@Test
	void modelServerFrozenMidStream() {
		StreamRun run = stream("frozen-server");
		fleet.process(fleet.busyModelServer()).freeze();
		assertWhole(run);
	}

	/** Guards against trust in a connection that stays open and carries nothing. */
	@Test
	void connectionToModelServerSilentMidStream() {
		StreamRun run = stream("silent-server");
		fleet.server(fleet.busyModelServer()).silenceExisting();
		assertWhole(run);
	}

	/** Guards against a caller that trusts a silent connection to its router. */
	@Test
	void connectionToRouterSilentMidStream() {
		String router = fleet.routerOf("silent-router");
		StreamRun run = stream("silent-router");
		fleet.callers(router).silenceExisting();
		assertWhole(run);
	}

	/** Guards against streams that end when their server comes and goes. */
	@Test
	void modelServerFlapsMidStream() {
		StreamRun run = stream("flapping-server");
		String server = fleet.busyModelServer();
		fleet.faults(server, new ModelFaults(false, 0, 0, false, false, 0, 0, 0, false, false, 0, 300));
		assertWhole(run);
		for (int i = 0; i < 3; i++) {
			assertWhole(StreamRun.start(this.client, "flapping-" + i));
		}
		Eventually.isTrue("The other server is idle", ANSWER_LIMIT,
				() -> RequestFleet.MODEL_SERVERS.stream().noneMatch(fleet::runs));
	}

}
