package io.fescuehold.standin.http;

import java.time.Duration;

import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.scheduler.Schedulers;

/**
 * Makes a server refuse connections, either permanently or in every other period.
 */
public final class AvailabilityControl implements AutoCloseable {

	private final LoopbackServer server;

	private Disposable flapping = () -> {
	};

	/**
	 * Creates a control. The server accepts connections until {@link #set} is called.
	 * @param server the server
	 */
	public AvailabilityControl(LoopbackServer server) {
		this.server = server;
	}

	/**
	 * Sets whether connections are refused.
	 * @param refuse whether connections are refused permanently
	 * @param flapPeriodMs the length in milliseconds of the alternating periods of
	 * refusing and accepting, or 0 for none
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
