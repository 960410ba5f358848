package io.fescuehold.core.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Records which server last served each chat. The table is set-associative and grows up
 * to a limit; from then on the least recently seen chat of a full set is evicted. A slot
 * takes 20 bytes.
 */
public final class ChatLocationTable {

	/** The bytes that one slot takes. */
	public static final int BYTES_PER_SLOT = Long.BYTES + 3 * Integer.BYTES;

	private static final int WAYS = 8;

	private static final int MS_PER_TICK = 100;

	private static final int MAX_SERVERS = 65_536;

	private static final int INITIAL_SLOTS = 1 << 10;

	private final int maxSlots;

	private long[] keys;

	private int[] servers;

	private int[] tokens;

	private int[] seenTicks;

	private int setMask;

	private final Map<String, Integer> serverNumbers = new HashMap<>();

	private final List<String> serverIds = new ArrayList<>();

	private long baseMs = -1;

	private int size;

	/**
	 * Creates an empty table.
	 * @param capacity the chats kept at most, rounded up to a power of two
	 */
	public ChatLocationTable(int capacity) {
		this.maxSlots = Integer.highestOneBit(Math.max(WAYS, capacity) * 2 - 1);
		allocate(Math.min(INITIAL_SLOTS, this.maxSlots));
	}

	private void allocate(int slots) {
		this.keys = new long[slots];
		this.servers = new int[slots];
		this.tokens = new int[slots];
		this.seenTicks = new int[slots];
		this.setMask = slots / WAYS - 1;
		Arrays.fill(this.servers, -1);
	}

	private void grow() {
		long[] oldKeys = this.keys;
		int[] oldServers = this.servers;
		int[] oldTokens = this.tokens;
		int[] oldTicks = this.seenTicks;
		allocate(oldKeys.length * 2);
		for (int old = 0; old < oldKeys.length; old++) {
			if (oldServers[old] >= 0) {
				int slot = slotToWrite(oldKeys[old], oldTicks[old]);
				write(slot, oldKeys[old], oldServers[old], oldTokens[old], oldTicks[old]);
			}
		}
	}

	private void write(int slot, long key, int server, int cachedTokens, int ticks) {
		this.keys[slot] = key;
		this.servers[slot] = server;
		this.tokens[slot] = cachedTokens;
		this.seenTicks[slot] = ticks;
	}

	/**
	 * Records the server of a chat.
	 * @param chatHash the hash of the chat id
	 * @param serverId the server that holds the chat's context
	 * @param cachedTokens the tokens of the chat in the server's cache
	 * @param nowMs the time in milliseconds
	 */
	public void put(long chatHash, String serverId, long cachedTokens, long nowMs) {
		if (this.baseMs < 0) {
			this.baseMs = nowMs;
		}
		int slot = slotToWrite(chatHash, ticks(nowMs));
		while (this.servers[slot] >= 0 && this.keys[slot] != chatHash && this.keys.length < this.maxSlots) {
			grow();
			slot = slotToWrite(chatHash, ticks(nowMs));
		}
		this.size += (this.servers[slot] < 0) ? 1 : 0;
		write(slot, chatHash, serverNumber(serverId), (int) Math.min(cachedTokens, Integer.MAX_VALUE), ticks(nowMs));
	}

	/**
	 * Removes a chat if the given server is recorded for it.
	 * @param chatHash the hash of the chat id
	 * @param serverId the server
	 */
	public void remove(long chatHash, String serverId) {
		int slot = find(chatHash);
		if (slot >= 0 && this.serverIds.get(this.servers[slot]).equals(serverId)) {
			this.servers[slot] = -1;
			this.size--;
		}
	}

	/**
	 * Finds a chat.
	 * @param chatHash the hash of the chat id
	 * @return the location of the chat, or null if it is not in the table
	 */
	public Location get(long chatHash) {
		int slot = find(chatHash);
		return (slot >= 0) ? new Location(this.serverIds.get(this.servers[slot]), this.tokens[slot],
				this.baseMs + (long) this.seenTicks[slot] * MS_PER_TICK) : null;
	}

	/**
	 * Returns the number of chats in the table.
	 * @return the number
	 */
	public int size() {
		return this.size;
	}

	/**
	 * Returns the memory used by the table.
	 * @return the size in bytes
	 */
	public long sizeBytes() {
		return (long) this.keys.length * BYTES_PER_SLOT;
	}

	private int find(long chatHash) {
		int first = firstSlot(chatHash);
		for (int slot = first; slot < first + WAYS; slot++) {
			if (this.keys[slot] == chatHash && this.servers[slot] >= 0) {
				return slot;
			}
		}
		return -1;
	}

	private int slotToWrite(long chatHash, int nowTicks) {
		int found = find(chatHash);
		if (found >= 0) {
			return found;
		}
		int first = firstSlot(chatHash);
		int oldest = first;
		for (int slot = first; slot < first + WAYS; slot++) {
			if (this.servers[slot] < 0) {
				return slot;
			}
			if (nowTicks - this.seenTicks[slot] > nowTicks - this.seenTicks[oldest]) {
				oldest = slot;
			}
		}
		return oldest;
	}

	private int firstSlot(long chatHash) {
		return ((int) (chatHash >>> Integer.SIZE) & this.setMask) * WAYS;
	}

	private int serverNumber(String serverId) {
		Integer known = this.serverNumbers.get(serverId);
		if (known != null) {
			return known;
		}
		if (this.serverIds.size() >= MAX_SERVERS) {
			clear();
		}
		this.serverNumbers.put(serverId, this.serverIds.size());
		this.serverIds.add(serverId);
		return this.serverIds.size() - 1;
	}

	private void clear() {
		Arrays.fill(this.servers, -1);
		this.serverNumbers.clear();
		this.serverIds.clear();
		this.size = 0;
	}

	private int ticks(long nowMs) {
		return (int) ((nowMs - this.baseMs) / MS_PER_TICK);
	}

	/**
	 * Where a chat was last served.
	 *
	 * @param serverId the server
	 * @param cachedTokens the tokens of the chat in the server's cache
	 * @param seenAtMs when the chat was served, in milliseconds since the epoch, rounded
	 * down to 100 ms
	 */
	public record Location(String serverId, long cachedTokens, long seenAtMs) {

	}

}
