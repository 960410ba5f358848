package io.fescuehold.core.evacuation;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * An operator's order to begin or to end the evacuation of a failure domain.
 *
 * @param domain the failure domain
 * @param begins true to send nothing more to the servers of the domain, false to take
 * that back
 */
public record EvacuationOrder(String domain, boolean begins) {

	/** The maximum length of the name of a failure domain in characters. */
	public static final int MAX_DOMAIN_LENGTH = 200;

	/**
	 * Checks the arguments.
	 */
	public EvacuationOrder {
		if (domain.isBlank() || domain.length() > MAX_DOMAIN_LENGTH) {
			throw new IllegalArgumentException("A failure domain has 1 to " + MAX_DOMAIN_LENGTH
					+ " characters and is not blank, but there are " + domain.length());
		}
	}

	/**
	 * Writes the order.
	 * @return the bytes
	 */
	public byte[] encode() {
		byte[] name = this.domain.getBytes(StandardCharsets.UTF_8);
		return ByteBuffer.allocate(1 + name.length).put((byte) (this.begins ? 1 : 0)).put(name).array();
	}

	/**
	 * Reads an order.
	 * @param bytes what {@link #encode()} wrote
	 * @return the order
	 */
	public static EvacuationOrder decode(byte[] bytes) {
		return new EvacuationOrder(new String(bytes, 1, bytes.length - 1, StandardCharsets.UTF_8), bytes[0] != 0);
	}

	@Override
	public String toString() {
		return (this.begins ? "begin" : "end") + " the evacuation of " + this.domain;
	}

}
