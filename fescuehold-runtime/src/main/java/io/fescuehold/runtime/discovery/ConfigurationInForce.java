package io.fescuehold.runtime.discovery;

import java.util.concurrent.TimeUnit;
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

	private final Runnable onTaken;

	private final ConfigFreshness freshness = new ConfigFreshness();

	private RoutingDocument document = RoutingDocument.NONE;

	private String confirmedBy;

	/**
	 * Creates an empty view.
	 * @param listener the listener that puts configurations in force
	 * @param clockMs the clock in milliseconds
	 * @param onTaken called after a configuration was put in force
	 */
	ConfigurationInForce(FleetListener listener, LongSupplier clockMs, Runnable onTaken) {
		this.listener = listener;
		this.onTaken = onTaken;
		this.clockMs = clockMs;
	}

	RoutingDocument document() {
		return this.document;
	}

	long number() {
		return this.document.number();
	}

	/**
	 * Returns whether a leader has confirmed a configuration since this process started.
	 * Until then, what a replica or another daemon holds may be older than what this
	 * daemon acknowledged before.
	 * @return whether there was a confirmation
	 */
	boolean isConfirmedOnce() {
		return this.confirmedBy != null;
	}

	/**
	 * Puts a committed configuration in force, unless it is not newer. If that fails, the
	 * previous one stays in force.
	 * @param committed the configuration
	 * @param source where it came from, for the log
	 * @return whether this configuration or a newer one is in force now
	 */
	boolean take(RoutingDocument committed, String source) {
		long previous = this.document.number();
		if (committed.number() <= previous) {
			return true;
		}
		try {
			this.listener.onDocument(committed);
		}
		catch (RuntimeException ex) {
			logger.atSevere()
				.atMostEvery(1, TimeUnit.SECONDS)
				.withCause(ex)
				.log("Configuration %d from %s cannot be put in force; configuration %d stays, which was confirmed %s",
						committed.number(), source, previous, age());
			return false;
		}
		this.document = committed;
		logger.atInfo()
			.log("Configuration %d from %s replaces configuration %d, which was confirmed %s", committed.number(),
					source, previous, age());
		this.onTaken.run();
		return true;
	}

	/**
	 * Takes what the leader says in reply to a pull. One of an earlier version only tells
	 * that it holds nothing newer.
	 * @param hostId the leader
	 * @param news the reply
	 * @param heldNumber the number in force when the pull was sent
	 * @param askedAtMs the time in milliseconds at which the pull was sent
	 * @return whether the newest configuration is in force now
	 */
	boolean takeNews(String hostId, SyncMessage.News news, long heldNumber, long askedAtMs) {
		RoutingDocument newer = (news.document() != null) ? RoutingDocument.decode(news.document()) : null;
		boolean obeyed = newer == null || take(newer, "leader " + hostId);
		long confirmedNumber = (newer != null) ? newer.number() : heldNumber;
		confirm(hostId, (news.number() != null) ? news.number() : confirmedNumber, askedAtMs);
		return obeyed;
	}

	/**
	 * Records that a configuration is the newest, if it is the one in force.
	 * @param hostId the leader that confirmed it
	 * @param number the number of the newest configuration
	 * @param askedAtMs the time in milliseconds at which the confirmation was requested
	 */
	void confirm(String hostId, long number, long askedAtMs) {
		if (number != this.document.number()) {
			logger.atWarning()
				.atMostEvery(1, TimeUnit.SECONDS)
				.log("Leader %s holds configuration %d and does not confirm configuration %d, which was confirmed %s",
						hostId, number, this.document.number(), age());
			return;
		}
		if (!hostId.equals(this.confirmedBy)) {
			logger.atInfo()
				.log("Configuration %d is confirmed by %s, previously by %s %s", number, hostId, this.confirmedBy,
						age());
		}
		this.confirmedBy = hostId;
		this.freshness.confirm(askedAtMs);
		this.listener.onConfirmed(askedAtMs);
	}

	private String age() {
		return isConfirmedOnce() ? this.freshness.ageMs(this.clockMs.getAsLong()) + " ms ago" : "never";
	}

}
