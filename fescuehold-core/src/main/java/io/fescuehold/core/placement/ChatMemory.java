package io.fescuehold.core.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Remembers where chats were last served. The memory is a table of fixed size with small
 * sets; within a full set the chat that was seen least recently is forgotten. A chat
 * takes 20 bytes.
 */
public final class ChatMemory {

	/** The bytes that one chat takes. */
	public static final int BYTES_PER_CHAT = Long.BYTES + 3 * Integer.BYTES;

	private static final int WAYS = 8;

	private static final int MS_PER_TICK = 100;

	private static final int MAX_SERVERS = 65_536;

	private final long[] keys;

	private final int[] servers;

	private final int[] tokens;

	private final int[] seenTicks;

	private final int setMask;

	private final Map<String, Integer> serverNumbers = new HashMap<>();

	private final List<String> serverIds = new ArrayList<>();

	private long baseMs = -1;

	private int size;

	/**
	 * Creates an empty memory.
	 * @param capacity the chats kept at most, rounded up to a power of two
	 */
	public ChatMemory(int capacity) {
		int slots = Integer.highestOneBit(Math.max(WAYS, capacity) * 2 - 1);
		this.keys = new long[slots];
		this.servers = new int[slots];
		this.tokens = new int[slots];
		this.seenTicks = new int[slots];
		this.setMask = slots / WAYS - 1;
		Arrays.fill(this.servers, -1);
	}

	/**
	 * Remembers a chat.
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
		this.size += (this.servers[slot] < 0) ? 1 : 0;
		this.keys[slot] = chatHash;
		this.servers[slot] = number(serverId);
		this.tokens[slot] = (int) Math.min(cachedTokens, Integer.MAX_VALUE);
		this.seenTicks[slot] = ticks(nowMs);
	}

	/**
	 * Forgets a chat if it is remembered at a server.
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
	 * @return the place of the chat, or null if it is not remembered
	 */
	public Place get(long chatHash) {
		int slot = find(chatHash);
		return (slot >= 0) ? new Place(this.serverIds.get(this.servers[slot]), this.tokens[slot],
				this.baseMs + (long) this.seenTicks[slot] * MS_PER_TICK) : null;
	}

	/**
	 * Returns the number of chats remembered.
	 * @return the number
	 */
	public int size() {
		return this.size;
	}

	/**
	 * Returns the memory that the table takes.
	 * @return the size in bytes
	 */
	public long sizeBytes() {
		return (long) this.keys.length * BYTES_PER_CHAT;
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

	private int number(String serverId) {
		Integer number = this.serverNumbers.get(serverId);
		if (number != null) {
			return number;
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
	public record Place(String serverId, long cachedTokens, long seenAtMs) {

	}

}
