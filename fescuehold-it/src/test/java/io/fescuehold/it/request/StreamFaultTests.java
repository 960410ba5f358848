package io.fescuehold.it.request;

import java.time.Duration;

import io.fescuehold.it.harness.Eventually;
import io.fescuehold.standin.modelserver.ModelFaults;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against streams that are truncated, repeated, mixed up or stalled when one part
 * of the request path fails mid-stream.
 */
class StreamFaultTests extends AbstractRequestTests {

	/** The longest stall that the requirements allow. */
	private static final long STALL_LIMIT_MS = 2_000;

	private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(20);

	private static final int CHUNKS_BEFORE_FAULT = 10;

	private StreamRun startStream(String chat) {
		return StreamRun.start(this.client, chat).awaitChunks(CHUNKS_BEFORE_FAULT);
	}

	private static void assertCompleteWithoutStall(StreamRun run) {
		run.await(RESPONSE_TIMEOUT);
		System.out.println("largest stall " + run.largestGapMs() + " ms");
		assertThat(run.complete()).as(run.describe()).isTrue();
		assertThat(run.largestGapMs()).as("largest stall in ms").isLessThan(STALL_LIMIT_MS);
	}

	/** Guards against a stream that ends when its router is killed. */
	@Test
	void routerKilledMidStream() {
		String router = fleet.routerOf("killed-router");
		StreamRun run = startStream("killed-router");
		assertThat(fleet.callerProxy(router).openConnections()).isPositive();
		fleet.process(router).kill();
		assertCompleteWithoutStall(run);
	}

	/** Guards against a caller that waits for a frozen router beyond the stall limit. */
	@Test
	void routerFrozenMidStream() {
		String router = fleet.routerOf("frozen-router");
		StreamRun run = startStream("frozen-router");
		fleet.process(router).freeze();
		assertCompleteWithoutStall(run);
	}

	/** Guards against a stream that ends when its model server is killed. */
	@Test
	void modelServerKilledMidStream() {
		StreamRun run = startStream("killed-server");
		fleet.process(fleet.busyModelServer()).kill();
		assertCompleteWithoutStall(run);
	}

	/** Guards against a router that waits for a frozen server beyond the stall limit. */
	@Test
	void modelServerFrozenMidStream() {
		StreamRun run = startStream("frozen-server");
		fleet.process(fleet.busyModelServer()).freeze();
		assertCompleteWithoutStall(run);
	}

	/** Guards against a router that waits on an open connection that carries no data. */
	@Test
	void connectionToModelServerSilentMidStream() {
		StreamRun run = startStream("silent-server");
		fleet.serverProxy(fleet.busyModelServer()).silenceExisting();
		assertCompleteWithoutStall(run);
	}

	/** Guards against a caller that waits on an open connection that carries no data. */
	@Test
	void connectionToRouterSilentMidStream() {
		String router = fleet.routerOf("silent-router");
		StreamRun run = startStream("silent-router");
		fleet.callerProxy(router).silenceExisting();
		assertCompleteWithoutStall(run);
	}

	/** Guards against streams that end when their server flaps. */
	@Tag("known-red")
	@Test
	void modelServerFlapsMidStream() {
		StreamRun run = startStream("flapping-server");
		String server = fleet.busyModelServer();
		fleet.setFaults(server, new ModelFaults(false, 0, 0, false, false, 0, 0, 0, false, false, 0, 300));
		assertCompleteWithoutStall(run);
		for (int i = 0; i < 3; i++) {
			assertCompleteWithoutStall(StreamRun.start(this.client, "flapping-" + i));
		}
		Eventually.isTrue("All model servers are idle", RESPONSE_TIMEOUT,
				() -> RequestFleet.MODEL_SERVERS.stream().noneMatch(fleet::hasRequests));
	}

}
