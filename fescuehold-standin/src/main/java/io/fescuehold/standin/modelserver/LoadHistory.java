package io.fescuehold.standin.modelserver;

import java.time.Clock;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

import reactor.core.Disposable;
import reactor.core.publisher.Flux;

/**
 * Samples the load, so that reports can lag behind the current load.
 */
final class LoadHistory implements AutoCloseable {

	private static final Duration SAMPLE_INTERVAL = Duration.ofMillis(50);

	private final Deque<LoadReport> samples = new ArrayDeque<>();

	private final BatchEngine engine;

	private final Clock clock;

	private final int lagMs;

	private final Disposable sampling;

	private LoadReport lastReport;

	LoadHistory(BatchEngine engine, Clock clock, int lagMs) {
		this.engine = engine;
		this.clock = clock;
		this.lagMs = lagMs;
		sample();
		this.sampling = Flux.interval(SAMPLE_INTERVAL).onBackpressureDrop().subscribe((tick) -> sample());
	}

	private synchronized void sample() {
		this.samples.addLast(this.engine.load(this.clock.millis()));
		trim();
	}

	private void trim() {
		long reportableUntilMs = this.clock.millis() - this.lagMs;
		while (this.samples.size() > 1 && secondOldest().reportedAtMs() <= reportableUntilMs) {
			this.samples.removeFirst();
		}
	}

	private LoadReport secondOldest() {
		return this.samples.stream().skip(1).findFirst().orElseThrow();
	}

	/**
	 * Returns the newest load that is at least as old as the lag.
	 * @param freeze whether to repeat the last report instead
	 * @return the report
	 */
	synchronized LoadReport report(boolean freeze) {
		if (freeze && this.lastReport != null) {
			return this.lastReport;
		}
		trim();
		this.lastReport = (this.lagMs == 0) ? this.engine.load(this.clock.millis()) : this.samples.getFirst();
		return this.lastReport;
	}

	@Override
	public void close() {
		this.sampling.dispose();
	}

}
