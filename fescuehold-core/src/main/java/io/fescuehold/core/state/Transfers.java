package io.fescuehold.core.state;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

import io.fescuehold.config.Claim;
import io.fescuehold.config.Release;
import io.fescuehold.config.ShareConfig;

/**
 * What a share has given up and taken over. An item that was given up stays given up
 * until the receiving share releases it again: if the share could take it back by itself,
 * the receiving share might own it at the same time.
 */
public final class Transfers {

	static final Transfers NONE = new Transfers(new TreeMap<>(), new TreeMap<>());

	private final SortedMap<ItemId, String> givenUpTo;

	private final SortedMap<ItemId, Long> claimedAtMs;

	private Transfers(SortedMap<ItemId, String> givenUpTo, SortedMap<ItemId, Long> claimedAtMs) {
		this.givenUpTo = givenUpTo;
		this.claimedAtMs = claimedAtMs;
	}

	/**
	 * Adds the transfers of an accepted configuration.
	 * @param previous the configuration that was in force
	 * @param config the accepted configuration
	 * @param nowMs the time of acceptance in milliseconds since the epoch
	 * @return the transfers after the acceptance
	 */
	Transfers accept(ShareConfig previous, ShareConfig config, long nowMs) {
		SortedMap<ItemId, String> newGivenUpTo = new TreeMap<>(this.givenUpTo);
		SortedMap<ItemId, Long> newClaimedAtMs = new TreeMap<>(this.claimedAtMs);
		for (Claim claim : config.claims()) {
			ItemId item = new ItemId(claim.kind(), claim.id());
			newGivenUpTo.remove(item);
			if (!previous.claims().contains(claim)) {
				newClaimedAtMs.put(item, nowMs);
			}
		}
		for (Release release : config.releases()) {
			ItemId item = new ItemId(release.kind(), release.id());
			newGivenUpTo.put(item, release.toShare());
			newClaimedAtMs.remove(item);
		}
		return new Transfers(newGivenUpTo, newClaimedAtMs);
	}

	/**
	 * Returns the share that an item was given up to.
	 * @param item the item
	 * @return the share, or null if the item was not given up or was taken back
	 */
	String givenUpTo(ItemId item) {
		return this.givenUpTo.get(item);
	}

	/**
	 * Returns when an item was taken over.
	 * @param item the item
	 * @return the time in milliseconds since the epoch, or {@link Long#MIN_VALUE}
	 */
	long claimedAtMs(ItemId item) {
		return this.claimedAtMs.getOrDefault(item, Long.MIN_VALUE);
	}

	/**
	 * Returns the transfers.
	 * @return one entry per item
	 */
	List<Entry> entries() {
		List<Entry> entries = new ArrayList<>();
		this.givenUpTo.forEach((item, share) -> entries.add(new Entry(item, share, 0)));
		this.claimedAtMs.forEach((item, atMs) -> entries.add(new Entry(item, "", atMs)));
		return entries;
	}

	/**
	 * Restores the transfers.
	 * @param entries the transfers
	 * @return the transfers
	 */
	static Transfers of(List<Entry> entries) {
		Transfers transfers = new Transfers(new TreeMap<>(), new TreeMap<>());
		for (Entry entry : entries) {
			if (entry.givenUpTo().isEmpty()) {
				transfers.claimedAtMs.put(entry.item(), entry.claimedAtMs());
			}
			else {
				transfers.givenUpTo.put(entry.item(), entry.givenUpTo());
			}
		}
		return transfers;
	}

	/**
	 * A transfer in a snapshot.
	 *
	 * @param item the item
	 * @param givenUpTo the receiving share, or empty if the item was taken over
	 * @param claimedAtMs the time of taking over in milliseconds since the epoch
	 */
	public record Entry(ItemId item, String givenUpTo, long claimedAtMs) {

	}

}
