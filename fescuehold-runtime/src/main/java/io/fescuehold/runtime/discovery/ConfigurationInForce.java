package io.fescuehold.runtime.discovery;

import java.util.function.LongSupplier;

import com.google.common.flogger.FluentLogger;
import io.fescuehold.core.freshness.ConfigFreshness;
import io.fescuehold.core.routes.RoutingDocument;

/**
 * The configuration that this daemon obeys, and the last confirmation that it is the
 * newest. Not thread-safe: confined to one thread.
 */
final class ConfigurationInForce {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final FleetListener listener;

	private final LongSupplier clockMs;

	private final ConfigFreshness freshness = new ConfigFreshness();

	private RoutingDocument document = RoutingDocument.NONE;

	private String confirmedBy;

	private boolean confirmedOnce;

	ConfigurationInForce(FleetListener listener, LongSupplier clockMs) {
		this.listener = listener;
		this.clockMs = clockMs;
	}

	RoutingDocument document() {
		return this.document;
	}

	long number() {
		return this.document.number();
	}

	/**
	 * Puts a committed configuration in force, unless it is not newer.
	 * @param committed the configuration
	 * @param source where it came from, for the log
	 */
	void take(RoutingDocument committed, String source) {
		if (committed.number() <= this.document.number()) {
			return;
		}
		long previous = this.document.number();
		this.document = committed;
		this.listener.onDocument(committed);
		logger.atInfo()
			.log("Configuration %d from %s replaces configuration %d, which was confirmed %s", committed.number(),
					source, previous, age());
	}

	/**
	 * Records that the configuration in force is the newest.
	 * @param hostId the leader that confirmed it
	 * @param askedAtMs the time in milliseconds at which the confirmation was requested
	 */
	void confirm(String hostId, long askedAtMs) {
		if (!hostId.equals(this.confirmedBy)) {
			logger.atInfo()
				.log("Configuration %d is confirmed by %s, previously by %s %s", this.document.number(), hostId,
						this.confirmedBy, age());
		}
		this.confirmedBy = hostId;
		this.confirmedOnce = true;
		this.freshness.confirm(askedAtMs);
		this.listener.onConfirmed(askedAtMs);
	}

	private String age() {
		return this.confirmedOnce ? this.freshness.ageMs(this.clockMs.getAsLong()) + " ms ago" : "never";
	}

}
