package io.fescuehold.core.evacuation;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.Set;
import java.util.TreeSet;

/**
 * The failure domains to whose servers nothing may be sent, as the replicas agreed.
 *
 * @param revision grows with each change: the log index of the last order that changed
 * the domains, 0 before the first
 * @param domains the failure domains under evacuation, sorted
 */
public record Evacuations(long revision, Set<String> domains) {

	/** The state before the first order. */
	public static final Evacuations NONE = new Evacuations(0, Set.of());

	/**
	 * Copies the set.
	 */
	public Evacuations {
		domains = Collections.unmodifiableSortedSet(new TreeSet<>(domains));
	}

	/**
	 * Returns whether an order has no effect, because it was followed before.
	 * @param order the order
	 * @return whether the domain is in the state that the order demands
	 */
	public boolean fulfil(EvacuationOrder order) {
		return this.domains.contains(order.domain()) == order.begins();
	}

	/**
	 * Applies an order.
	 * @param order the order
	 * @param index the log index of the order
	 * @return the state after it
	 */
	public Evacuations after(EvacuationOrder order, long index) {
		if (fulfil(order)) {
			return this;
		}
		Set<String> changed = new TreeSet<>(this.domains);
		if (order.begins()) {
			changed.add(order.domain());
		}
		else {
			changed.remove(order.domain());
		}
		return new Evacuations(index, changed);
	}

	/**
	 * Writes the state.
	 * @return the revision, followed by the length and the name of each domain
	 */
	public byte[] encode() {
		byte[][] names = this.domains.stream()
			.map((domain) -> domain.getBytes(StandardCharsets.UTF_8))
			.toArray(byte[][]::new);
		int sizeBytes = Long.BYTES;
		for (byte[] name : names) {
			sizeBytes += Integer.BYTES + name.length;
		}
		ByteBuffer buffer = ByteBuffer.allocate(sizeBytes).putLong(this.revision);
		for (byte[] name : names) {
			buffer.putInt(name.length).put(name);
		}
		return buffer.array();
	}

	/**
	 * Reads a state.
	 * @param bytes what {@link #encode()} wrote
	 * @return the state
	 */
	public static Evacuations decode(byte[] bytes) {
		ByteBuffer buffer = ByteBuffer.wrap(bytes);
		long revision = buffer.getLong();
		Set<String> domains = new TreeSet<>();
		while (buffer.hasRemaining()) {
			byte[] name = new byte[buffer.getInt()];
			buffer.get(name);
			domains.add(new String(name, StandardCharsets.UTF_8));
		}
		return new Evacuations(revision, domains);
	}

}
