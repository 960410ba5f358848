package io.fescuehold.bench.experiment;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

import io.fescuehold.config.ServerState;

/**
 * Makes servers leave and join as planned, crash and flap.
 */
final class Churn {

	private static final long SERVER_INTERVAL_MS = 240_000;

	private static final long SETTLE_MS = 45_000;

	private static final int LEAVE_WEIGHT = 5;

	private static final int CRASH_WEIGHT = 8;

	private static final int WEIGHTS = 10;

	private final SplittableRandom random;

	private final PlacementSimulation simulation;

	private final int servers;

	private final Map<Integer, Long> busyUntilMs = new HashMap<>();

	Churn(PlacementSimulation simulation, int servers, long seed) {
		this.simulation = simulation;
		this.servers = servers;
		this.random = new SplittableRandom(seed ^ Long.MAX_VALUE);
	}

	void schedule(long fromMs, long toMs) {
		long intervalMs = SERVER_INTERVAL_MS / this.servers;
		for (long atMs = fromMs; atMs < toMs; atMs += intervalMs) {
			int server = this.random.nextInt(this.servers);
			if (this.busyUntilMs.getOrDefault(server, 0L) > atMs) {
				continue;
			}
			this.busyUntilMs.put(server, atMs + SERVER_INTERVAL_MS / 2);
			int draw = this.random.nextInt(WEIGHTS);
			if (draw < LEAVE_WEIGHT) {
				replace(server, atMs);
			}
			else if (draw < CRASH_WEIGHT) {
				crash(server, atMs, 10_000);
				settle(server, atMs + 10_000);
			}
			else {
				crash(server, atMs, 1_500);
				crash(server, atMs + 4_000, 1_500);
				crash(server, atMs + 8_000, 1_500);
				settle(server, atMs + 9_500);
			}
		}
	}

	private void replace(int server, long atMs) {
		this.simulation.at(atMs, () -> {
			this.simulation.server(server).setCounted(false);
			this.simulation.setState(server, ServerState.LEAVING);
		});
		this.simulation.at(atMs + 25_000, () -> {
			this.simulation.setState(server, null);
			this.simulation.crash(server);
		});
		this.simulation.at(atMs + 30_000, () -> {
			this.simulation.server(server).start();
			this.simulation.setState(server, ServerState.JOINING);
		});
		this.simulation.at(atMs + 60_000, () -> this.simulation.setState(server, ServerState.ACTIVE));
		settle(server, atMs + 30_000);
	}

	private void crash(int server, long atMs, long downMs) {
		this.simulation.at(atMs, () -> {
			this.simulation.server(server).setCounted(false);
			this.simulation.crash(server);
		});
		this.simulation.at(atMs + downMs, () -> this.simulation.server(server).start());
	}

	private void settle(int server, long backAtMs) {
		this.simulation.at(backAtMs + SETTLE_MS, () -> this.simulation.server(server).setCounted(true));
	}

}
