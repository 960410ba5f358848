package io.fescuehold.client;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A map that forgets the keys used least recently beyond a limit. Not safe for use by
 * several threads.
 *
 * @param <V> the type of values
 */
final class RecentMap<V> extends LinkedHashMap<String, V> {

	private static final long serialVersionUID = 1L;

	private static final int INITIAL_CAPACITY = 16;

	private static final float LOAD_FACTOR = 0.75f;

	private final int limit;

	RecentMap(int limit) {
		super(INITIAL_CAPACITY, LOAD_FACTOR, true);
		this.limit = limit;
	}

	@Override
	protected boolean removeEldestEntry(Map.Entry<String, V> eldest) {
		return size() > this.limit;
	}

}
