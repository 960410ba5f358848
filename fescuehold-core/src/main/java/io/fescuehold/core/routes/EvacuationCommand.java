package io.fescuehold.core.routes;

import java.nio.ByteBuffer;
import java.util.Arrays;

import io.fescuehold.core.evacuation.EvacuationOrder;

/**
 * An order as the log of the routing configuration holds it. It has the form of a
 * {@link RoutingDocument} whose number is below all others, so that a replica of a
 * version without evacuations takes it for an overtaken configuration and ignores it.
 *
 * @param order the order
 * @param expectedRevision the revision of the state that the order changes. An order that
 * was delayed on its way to the log must not undo a later one.
 */
public record EvacuationCommand(EvacuationOrder order, long expectedRevision) {

	private static final long NUMBER = Long.MIN_VALUE;

	/**
	 * Writes the command.
	 * @return a routing document with the expected revision and the order as its content
	 */
	public byte[] encode() {
		byte[] encoded = this.order.encode();
		byte[] content = ByteBuffer.allocate(Long.BYTES + encoded.length)
			.putLong(this.expectedRevision)
			.put(encoded)
			.array();
		return new RoutingDocument(NUMBER, new byte[RoutingDocument.SIGNATURE_BYTES], content).encode();
	}

	/**
	 * Returns whether a command of the log is an order.
	 * @param document the command, read as a routing document
	 * @return whether {@link #of(RoutingDocument)} can read it
	 */
	public static boolean isIn(RoutingDocument document) {
		return document.number() == NUMBER;
	}

	/**
	 * Reads an order.
	 * @param document the command, read as a routing document
	 * @return the order
	 */
	public static EvacuationCommand of(RoutingDocument document) {
		long expectedRevision = ByteBuffer.wrap(document.content()).getLong();
		byte[] order = Arrays.copyOfRange(document.content(), Long.BYTES, document.content().length);
		return new EvacuationCommand(EvacuationOrder.decode(order), expectedRevision);
	}

}
