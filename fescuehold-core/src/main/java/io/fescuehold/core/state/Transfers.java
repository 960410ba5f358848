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
 * The items that a share has released to or claimed from other shares. An item stays
 * released until it is claimed back: if the share could withdraw a release on its own, it
 * and the receiving share might own the item at the same time. Every claim increments the
 * epoch of the item, so that a release cannot be claimed twice.
 */
public final class Transfers {

	static final Transfers NONE = new Transfers(new TreeMap<>());

	private static final long NEVER_TRANSFERRED = -1;

	private final SortedMap<ItemId, Entry> entries;

	private Transfers(SortedMap<ItemId, Entry> entries) {
		this.entries = entries;
	}

	/**
	 * Adds the transfers of an accepted configuration.
	 * @param previous the configuration that was in force
	 * @param config the accepted configuration
	 * @param observed the observed other shares by name
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
			if (releasedTo(item) == null) {
				changed.put(item, new Entry(item, Math.max(0, epoch(item)), release.toShare(), Long.MIN_VALUE,
						observedNumbers(observed)));
			}
		}
		return new Transfers(changed);
	}

	private static Map<String, Long> observedNumbers(Map<String, ObservedShare> observed) {
		Map<String, Long> numbers = new TreeMap<>();
		observed.forEach((share, other) -> numbers.put(share, other.config().number()));
		return numbers;
	}

	/**
	 * Returns the configuration number at which another share was observed when an item
	 * was released. A later release by that share has a higher number.
	 * @param item the item
	 * @param share the other share
	 * @return the number, or 0 if the item is not released or the other share had not
	 * been observed
	 */
	long observedNumberAtRelease(ItemId item, String share) {
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
		return (entry != null) ? entry.epoch() : NEVER_TRANSFERRED;
	}

	/**
	 * Returns the share that an item was released to.
	 * @param item the item
	 * @return the share, or null if the item was not released or was claimed back
	 */
	String releasedTo(ItemId item) {
		Entry entry = this.entries.get(item);
		return (entry != null && !entry.givenUpTo().isEmpty()) ? entry.givenUpTo() : null;
	}

	/**
	 * Returns when an item was claimed.
	 * @param item the item
	 * @return the time in milliseconds since the epoch, or {@link Long#MIN_VALUE} if the
	 * item was released since or never claimed
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
	 * Restores transfers from a snapshot.
	 * @param entries one entry per item
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
	 * @param epoch how often the item has been claimed by any share, including a claim
	 * that this entry records
	 * @param givenUpTo the share that the item was released to, or empty if the item was
	 * claimed
	 * @param claimedAtMs the time of the claim in milliseconds since the epoch, or
	 * {@link Long#MIN_VALUE} if the item was released
	 * @param numbersWhenGivenUp the configuration numbers at which the other shares were
	 * observed when the item was released, by share; empty if it was claimed
	 */
	public record Entry(ItemId item, long epoch, String givenUpTo, long claimedAtMs,
			Map<String, Long> numbersWhenGivenUp) {

	}

}
