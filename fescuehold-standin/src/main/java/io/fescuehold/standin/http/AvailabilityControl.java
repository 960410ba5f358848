package io.fescuehold.standin.http;

import java.time.Duration;

import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.scheduler.Schedulers;

/**
 * Lets a server refuse connections, either at all times or in every other period.
 */
public final class AvailabilityControl implements AutoCloseable {

	private final LoopbackServer server;

	private Disposable flapping = () -> {
	};

	/**
	 * Creates a control; connections are accepted until it is set.
	 * @param server the server
	 */
	public AvailabilityControl(LoopbackServer server) {
		this.server = server;
	}

	/**
	 * Sets whether connections are refused.
	 * @param refuse whether they are refused at all times
	 * @param flapPeriodMs the period of refusing and accepting in turn, or 0
	 */
	public synchronized void set(boolean refuse, int flapPeriodMs) {
		this.flapping.dispose();
		this.server.refuseConnections(refuse || flapPeriodMs > 0);
		if (!refuse && flapPeriodMs > 0) {
			this.flapping = Flux.interval(Duration.ofMillis(flapPeriodMs), Schedulers.boundedElastic())
				.onBackpressureDrop()
				.subscribe((tick) -> flap(tick % 2 != 0));
		}
	}

	private synchronized void flap(boolean refuse) {
		if (this.flapping.isDisposed()) {
			return;
		}
		this.server.refuseConnections(refuse);
		if (refuse) {
			this.server.resetConnections();
		}
	}

	@Override
	public synchronized void close() {
		this.flapping.dispose();
	}

}
