package io.fescuehold.runtime.control;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

import io.fescuehold.config.ConfigJson;
import io.fescuehold.config.ShareConfig;
import io.fescuehold.core.state.ShareDelta;

/**
 * The last configurations of one share, from which deltas are computed. Deltas are cached
 * until the next configuration, because many daemons request the same one.
 */
final class ShareHistory {

	private static final int MAX_CONFIGS = 16;

	private final Deque<ShareConfig> newestFirst = new ArrayDeque<>();

	private final Map<Long, FeedMessage.ShareUpdate> updatesByNumber = new HashMap<>();

	/**
	 * Adds a newer configuration.
	 * @param config the configuration
	 */
	synchronized void add(ShareConfig config) {
		this.newestFirst.addFirst(config);
		if (this.newestFirst.size() > MAX_CONFIGS) {
			this.newestFirst.removeLast();
		}
		this.updatesByNumber.clear();
	}

	/**
	 * Returns the update for a daemon.
	 * @param fromNumber the number at the daemon, or -1 if it has none
	 * @return a delta if the configuration with that number is in the history, otherwise
	 * the whole configuration
	 */
	synchronized FeedMessage.ShareUpdate updateFrom(long fromNumber) {
		return this.updatesByNumber.computeIfAbsent(fromNumber, this::createUpdate);
	}

	private FeedMessage.ShareUpdate createUpdate(long fromNumber) {
		ShareConfig newest = this.newestFirst.getFirst();
		for (ShareConfig config : this.newestFirst) {
			if (config.number() == fromNumber) {
				return new FeedMessage.ShareUpdate(null, ShareDelta.between(config, newest));
			}
		}
		return new FeedMessage.ShareUpdate(ConfigJson.canonicalBytes(newest), null);
	}

}
