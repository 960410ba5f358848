package io.fescuehold.core.state;

import java.util.Map;
import java.util.TreeMap;

import io.fescuehold.config.ConfigJson;
import io.fescuehold.config.ShareConfig;

/**
 * The latest observed configuration of another share.
 *
 * @param config the other share's configuration
 * @param releaseEpochs the epochs of the items that it releases
 * @param command the command that contained both
 */
record ObservedShare(ShareConfig config, Map<ItemId, Long> releaseEpochs, StateCommand.ObserveShare command) {

	/**
	 * Parses an observation.
	 * @param command the command that contains it
	 * @return the observation
	 * @throws io.fescuehold.config.ConfigException if the configuration is not valid
	 */
	static ObservedShare of(StateCommand.ObserveShare command) {
		Map<ItemId, Long> epochs = new TreeMap<>();
		command.releaseEpochs().forEach((entry) -> epochs.put(entry.item(), entry.epoch()));
		return new ObservedShare(ConfigJson.read(command.configJson()), epochs, command);
	}

	/**
	 * Returns the epoch of a released item.
	 * @param item the item
	 * @return the epoch, or 0 if the observation contains none for the item
	 */
	long epoch(ItemId item) {
		return this.releaseEpochs.getOrDefault(item, 0L);
	}

}
