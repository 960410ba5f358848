package io.fescuehold.core.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

import io.fescuehold.config.Claim;
import io.fescuehold.config.Release;
import io.fescuehold.config.ShareConfig;

/**
 * What a share has given up and taken over. An item that was given up stays given up
 * until it is claimed again: if the share could take it back by itself, the receiving
 * share might own it at the same time. Every claim raises the epoch of the item, so that
 * a release that was claimed before cannot be claimed again.
 */
public final class Transfers {

	static final Transfers NONE = new Transfers(new TreeMap<>());

	private static final long NEVER_OWNED = -1;

	private final SortedMap<ItemId, Entry> entries;

	private Transfers(SortedMap<ItemId, Entry> entries) {
		this.entries = entries;
	}

	/**
	 * Adds the transfers of an accepted configuration.
	 * @param previous the configuration that was in force
	 * @param config the accepted configuration
	 * @param observed the observed other shares
	 * @param nowMs the time of acceptance in milliseconds since the epoch
	 * @return the transfers after the acceptance
	 */
	Transfers accept(ShareConfig previous, ShareConfig config, Map<String, ObservedShare> observed, long nowMs) {
		SortedMap<ItemId, Entry> changed = new TreeMap<>(this.entries);
		for (Claim claim : config.claims()) {
			if (!previous.claims().contains(claim)) {
				ItemId item = new ItemId(claim.kind(), claim.id());
				changed.put(item,
						new Entry(item, observed.get(claim.fromShare()).epoch(item) + 1, "", nowMs, Map.of()));
			}
		}
		for (Release release : config.releases()) {
			ItemId item = new ItemId(release.kind(), release.id());
			if (givenUpTo(item) == null) {
				changed.put(item, new Entry(item, Math.max(0, epoch(item)), release.toShare(), Long.MIN_VALUE,
						numbers(observed)));
			}
		}
		return new Transfers(changed);
	}

	private static Map<String, Long> numbers(Map<String, ObservedShare> observed) {
		Map<String, Long> numbers = new TreeMap<>();
		observed.forEach((share, other) -> numbers.put(share, other.config().number()));
		return numbers;
	}

	/**
	 * Returns the number at which another share was known when an item was given up. A
	 * later release by that share has a higher number.
	 * @param item the item
	 * @param share the other share
	 * @return the number, or 0
	 */
	long numberWhenGivenUp(ItemId item, String share) {
		Entry entry = this.entries.get(item);
		return (entry != null) ? entry.numbersWhenGivenUp().getOrDefault(share, 0L) : 0;
	}

	/**
	 * Returns the epoch of an item.
	 * @param item the item
	 * @return the epoch, or -1 if the item was never transferred here
	 */
	long epoch(ItemId item) {
		Entry entry = this.entries.get(item);
		return (entry != null) ? entry.epoch() : NEVER_OWNED;
	}

	/**
	 * Returns the share that an item was given up to.
	 * @param item the item
	 * @return the share, or null if the item was not given up or was taken back
	 */
	String givenUpTo(ItemId item) {
		Entry entry = this.entries.get(item);
		return (entry != null && !entry.givenUpTo().isEmpty()) ? entry.givenUpTo() : null;
	}

	/**
	 * Returns when an item was taken over.
	 * @param item the item
	 * @return the time in milliseconds since the epoch, or {@link Long#MIN_VALUE}
	 */
	long claimedAtMs(ItemId item) {
		Entry entry = this.entries.get(item);
		return (entry != null) ? entry.claimedAtMs() : Long.MIN_VALUE;
	}

	/**
	 * Returns the transfers.
	 * @return one entry per item
	 */
	List<Entry> entries() {
		return new ArrayList<>(this.entries.values());
	}

	/**
	 * Restores the transfers.
	 * @param entries the transfers
	 * @return the transfers
	 */
	static Transfers of(List<Entry> entries) {
		SortedMap<ItemId, Entry> restored = new TreeMap<>();
		entries.forEach((entry) -> restored.put(entry.item(), entry));
		return new Transfers(restored);
	}

	/**
	 * The last transfer of an item.
	 *
	 * @param item the item
	 * @param epoch the number of transfers before
	 * @param givenUpTo the receiving share, or empty if the item was taken over
	 * @param claimedAtMs the time of taking over in milliseconds since the epoch, or
	 * {@link Long#MIN_VALUE} if the item was given up
	 * @param numbersWhenGivenUp the numbers of the other shares known when the item was
	 * given up, or empty if it was taken over
	 */
	public record Entry(ItemId item, long epoch, String givenUpTo, long claimedAtMs,
			Map<String, Long> numbersWhenGivenUp) {

	}

}
