package io.fescuehold.core.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The requests of this router that are outstanding at servers. Requests whose end is
 * never reported expire after {@link #MAX_AGE_MS}, so that they do not count for ever.
 */
final class OutstandingRequests {

	private static final long MAX_AGE_MS = 900_000;

	private static final long SWEEP_INTERVAL_MS = 60_000;

	private final Map<Key, Entry> entries = new HashMap<>();

	private long sweptAtMs = Long.MIN_VALUE / 2;

	void add(PlacementRequest request, String serverId, String share, long importedTokens, long nowMs) {
		this.entries.merge(new Key(request, serverId), new Entry(share, 1, importedTokens, nowMs),
				(old, added) -> new Entry(share, old.count + 1, importedTokens, nowMs));
	}

	/**
	 * Removes the requests that have been outstanding for longer than the maximum age, at
	 * most once a minute.
	 * @param nowMs the time in milliseconds
	 * @param expired called with each removed request
	 */
	void removeExpired(long nowMs, Consumer<Expired> expired) {
		if (nowMs - this.sweptAtMs < SWEEP_INTERVAL_MS) {
			return;
		}
		this.sweptAtMs = nowMs;
		this.entries.entrySet().removeIf((item) -> {
			if (nowMs - item.getValue().placedAtMs <= MAX_AGE_MS) {
				return false;
			}
			for (int count = 0; count < item.getValue().count; count++) {
				expired
					.accept(new Expired(item.getValue().share, item.getKey().request.model(), item.getKey().serverId));
			}
			return true;
		});
	}

	/**
	 * Removes a request.
	 * @param request the request
	 * @param serverId the server it was placed on
	 * @return the entry, or null if it is not outstanding
	 */
	Entry remove(PlacementRequest request, String serverId) {
		Key key = new Key(request, serverId);
		Entry entry = this.entries.get(key);
		if (entry == null) {
			return null;
		}
		if (entry.count > 1) {
			this.entries.put(key, new Entry(entry.share, entry.count - 1, entry.importedTokens, entry.placedAtMs));
		}
		else {
			this.entries.remove(key);
		}
		return entry;
	}

	private record Key(PlacementRequest request, String serverId) {

	}

	/**
	 * Equal requests outstanding at one server.
	 *
	 * @param share the share they were placed for
	 * @param count their number
	 * @param importedTokens the tokens expected from an import, 0 without one
	 * @param placedAtMs when the last of them was placed, in milliseconds
	 */
	record Entry(String share, int count, long importedTokens, long placedAtMs) {

	}

	/**
	 * A request that has expired.
	 *
	 * @param share the share it was placed for
	 * @param model the model
	 * @param serverId the server it was placed on
	 */
	record Expired(String share, String model, String serverId) {

	}

}
