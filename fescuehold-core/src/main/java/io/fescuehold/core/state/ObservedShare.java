package io.fescuehold.core.state;

import java.util.Map;
import java.util.TreeMap;

import io.fescuehold.config.ConfigJson;
import io.fescuehold.config.ShareConfig;

/**
 * What a share knows of another share.
 *
 * @param config the other share's configuration
 * @param releaseEpochs the ownership epochs of the items that it releases
 * @param command the command that carried both
 */
record ObservedShare(ShareConfig config, Map<ItemId, Long> releaseEpochs, StateCommand.ObserveShare command) {

	/**
	 * Reads an observation.
	 * @param command the command that carries it
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
	 * @return the epoch
	 */
	long epoch(ItemId item) {
		return this.releaseEpochs.getOrDefault(item, 0L);
	}

}
