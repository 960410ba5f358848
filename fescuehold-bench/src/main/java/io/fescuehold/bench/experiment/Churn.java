package io.fescuehold.bench.experiment;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

import io.fescuehold.config.ServerState;

/**
 * Schedules planned replacements, crashes and flapping of servers.
 */
final class Churn {

	private static final long INTERVAL_PER_SERVER_MS = 240_000;

	// The time after a restart during which a server does not count towards the skew.
	private static final long SETTLE_MS = 45_000;

	private static final int LEAVE_WEIGHT = 5;

	private static final int CRASH_WEIGHT = 8;

	private static final int TOTAL_WEIGHT = 10;

	private final SplittableRandom random;

	private final PlacementSimulation simulation;

	private final int serverCount;

	private final Map<Integer, Long> busyUntilMs = new HashMap<>();

	Churn(PlacementSimulation simulation, int serverCount, long seed) {
		this.simulation = simulation;
		this.serverCount = serverCount;
		this.random = new SplittableRandom(seed ^ Long.MAX_VALUE);
	}

	void schedule(long fromMs, long toMs) {
		long intervalMs = INTERVAL_PER_SERVER_MS / this.serverCount;
		for (long atMs = fromMs; atMs < toMs; atMs += intervalMs) {
			int server = this.random.nextInt(this.serverCount);
			if (this.busyUntilMs.getOrDefault(server, 0L) > atMs) {
				continue;
			}
			this.busyUntilMs.put(server, atMs + INTERVAL_PER_SERVER_MS / 2);
			int draw = this.random.nextInt(TOTAL_WEIGHT);
			if (draw < LEAVE_WEIGHT) {
				replaceServer(server, atMs);
			}
			else if (draw < CRASH_WEIGHT) {
				crash(server, atMs, 10_000);
				countAgain(server, atMs + 10_000);
			}
			else {
				crash(server, atMs, 1_500);
				crash(server, atMs + 4_000, 1_500);
				crash(server, atMs + 8_000, 1_500);
				countAgain(server, atMs + 9_500);
			}
		}
	}

	private void replaceServer(int server, long atMs) {
		this.simulation.at(atMs, () -> {
			this.simulation.server(server).setCountedInSkew(false);
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
		countAgain(server, atMs + 30_000);
	}

	private void crash(int server, long atMs, long downMs) {
		this.simulation.at(atMs, () -> {
			this.simulation.server(server).setCountedInSkew(false);
			this.simulation.crash(server);
		});
		this.simulation.at(atMs + downMs, () -> this.simulation.server(server).start());
	}

	private void countAgain(int server, long startedAtMs) {
		this.simulation.at(startedAtMs + SETTLE_MS, () -> this.simulation.server(server).setCountedInSkew(true));
	}

}
