package io.fescuehold.runtime.gateway;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

import io.fescuehold.core.routes.RoutingDocument;

/**
 * Converts submitted configurations to routing documents and back. Documents are
 * compressed because every daemon receives them.
 */
public final class Documents {

	private Documents() {
	}

	/**
	 * Creates a document.
	 * @param number the configuration number
	 * @param submitted the bytes that the operator submitted
	 * @return the document
	 */
	public static RoutingDocument of(long number, byte[] submitted) {
		try {
			byte[] signature = MessageDigest.getInstance("SHA-256").digest(submitted);
			ByteArrayOutputStream compressed = new ByteArrayOutputStream();
			try (DeflaterOutputStream deflater = new DeflaterOutputStream(compressed)) {
				deflater.write(submitted);
			}
			return new RoutingDocument(number, signature, compressed.toByteArray());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is required of every Java platform", ex);
		}
	}

	/**
	 * Returns the submitted bytes.
	 * @param document the document
	 * @return the decompressed bytes that the operator submitted
	 */
	public static byte[] submitted(RoutingDocument document) {
		try (InflaterInputStream inflater = new InflaterInputStream(new ByteArrayInputStream(document.content()))) {
			return inflater.readAllBytes();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
