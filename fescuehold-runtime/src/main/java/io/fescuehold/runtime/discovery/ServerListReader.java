package io.fescuehold.runtime.discovery;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import com.google.common.flogger.FluentLogger;
import io.fescuehold.core.servers.BackendServer;
import reactor.core.scheduler.Scheduler;

/**
 * Polls the server list while this daemon leads and, at the fallback interval, while it
 * has lost the leader. Not thread-safe: confined to one thread.
 */
final class ServerListReader {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final ServerListSource source;

	private final FleetOptions.Timing timing;

	private final Scheduler scheduler;

	private final RandomGenerator random;

	private final Consumer<List<BackendServer>> listener;

	private long lastReadMs = Long.MIN_VALUE / 2;

	private boolean reading;

	ServerListReader(ServerListSource source, FleetOptions.Timing timing, Scheduler scheduler, RandomGenerator random,
			Consumer<List<BackendServer>> listener) {
		this.source = source;
		this.timing = timing;
		this.scheduler = scheduler;
		this.random = random;
		this.listener = listener;
	}

	/**
	 * Reads the list if a read is due.
	 * @param leads whether this daemon leads
	 * @param silenceMs the time in milliseconds since the last reply of the leader
	 * @param nowMs the current time in milliseconds
	 */
	void tick(boolean leads, long silenceMs, long nowMs) {
		boolean leaderLost = !leads && silenceMs >= this.timing.silenceMs();
		long periodMs = leads ? this.timing.listMs() : this.timing.listFallbackMs();
		if (this.reading || !(leads || leaderLost) || nowMs - this.lastReadMs < periodMs) {
			return;
		}
		this.reading = true;
		// Random delay so that daemons that lost the leader together do not read
		// together.
		this.lastReadMs = nowMs + (leads ? 0 : this.random.nextLong(this.timing.listFallbackMs() / 2 + 1));
		this.source.read()
			.publishOn(this.scheduler)
			.doFinally((signal) -> this.reading = false)
			.subscribe(this.listener,
					(error) -> logger.atWarning()
						.atMostEvery(1, TimeUnit.SECONDS)
						.log("The server list could not be read; the last one is %d ms old: %s",
								nowMs - this.lastReadMs, error.getMessage()));
	}

}
