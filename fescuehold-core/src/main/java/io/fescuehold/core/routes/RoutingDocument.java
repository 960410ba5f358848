package io.fescuehold.core.routes;

import java.nio.ByteBuffer;
import java.util.Objects;

/**
 * A configuration of routes as it was submitted, so that it can be read back unchanged.
 *
 * @param number the number of the configuration
 * @param signature the SHA-256 of the submitted bytes
 * @param content the submitted bytes in the compressed form that the log holds
 */
public record RoutingDocument(long number, byte[] signature, byte[] content) {

	/** The length of a signature in bytes. */
	public static final int SIGNATURE_BYTES = 32;

	/** The document before any configuration was accepted. */
	public static final RoutingDocument NONE = new RoutingDocument(0, new byte[SIGNATURE_BYTES], new byte[0]);

	/**
	 * Checks the arguments.
	 */
	public RoutingDocument {
		Objects.requireNonNull(content, "content");
		if (signature.length != SIGNATURE_BYTES) {
			throw new IllegalArgumentException(
					"A signature has " + SIGNATURE_BYTES + " bytes, not " + signature.length);
		}
	}

	/**
	 * Writes the document.
	 * @return the number, the signature and the content
	 */
	public byte[] encode() {
		return ByteBuffer.allocate(Long.BYTES + SIGNATURE_BYTES + this.content.length)
			.putLong(this.number)
			.put(this.signature)
			.put(this.content)
			.array();
	}

	/**
	 * Reads a document.
	 * @param bytes what {@link #encode()} wrote
	 * @return the document
	 */
	public static RoutingDocument decode(byte[] bytes) {
		ByteBuffer buffer = ByteBuffer.wrap(bytes);
		long number = buffer.getLong();
		byte[] signature = new byte[SIGNATURE_BYTES];
		buffer.get(signature);
		byte[] content = new byte[buffer.remaining()];
		buffer.get(content);
		return new RoutingDocument(number, signature, content);
	}

}
