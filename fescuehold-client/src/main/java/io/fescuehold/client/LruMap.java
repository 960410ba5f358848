package io.fescuehold.client;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A map that evicts the least recently used entry when it exceeds its maximum size. Not
 * thread-safe.
 *
 * @param <V> the type of values
 */
final class LruMap<V> extends LinkedHashMap<String, V> {

	private static final long serialVersionUID = 1L;

	private static final int INITIAL_CAPACITY = 16;

	private static final float LOAD_FACTOR = 0.75f;

	private final int maxEntries;

	LruMap(int maxEntries) {
		super(INITIAL_CAPACITY, LOAD_FACTOR, true);
		this.maxEntries = maxEntries;
	}

	@Override
	protected boolean removeEldestEntry(Map.Entry<String, V> eldest) {
		return size() > this.maxEntries;
	}

}
