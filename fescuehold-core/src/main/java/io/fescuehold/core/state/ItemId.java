package io.fescuehold.core.state;

import java.util.Comparator;

import io.fescuehold.config.ItemKind;
import io.fescuehold.config.ShareConfig;

/**
 * Identifies an item that can move between shares.
 *
 * @param kind the kind of the item
 * @param id the id of the item
 */
public record ItemId(ItemKind kind, String id) implements Comparable<ItemId> {

	private static final Comparator<ItemId> ORDER = Comparator.comparing(ItemId::kind).thenComparing(ItemId::id);

	/**
	 * Tells whether a configuration lists the item.
	 * @param config the configuration
	 * @return whether it does
	 */
	boolean isListedIn(ShareConfig config) {
		return switch (this.kind) {
			case TEAM -> config.teams().containsKey(this.id);
			case MODEL_SERVER -> config.modelServers().containsKey(this.id);
			case SERVICE -> config.services().containsKey(this.id);
		};
	}

	@Override
	public int compareTo(ItemId other) {
		return ORDER.compare(this, other);
	}

}
