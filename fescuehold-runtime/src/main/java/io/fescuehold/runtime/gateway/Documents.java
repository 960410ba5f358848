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
 * Turns what operators submit into documents and back. Documents are compressed because
 * every daemon receives them.
 */
public final class Documents {

	private Documents() {
	}

	/**
	 * Creates a document.
	 * @param number the number
	 * @param submitted the submitted bytes
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
			throw new IllegalStateException("Every Java platform offers SHA-256", ex);
		}
	}

	/**
	 * Returns the submitted bytes.
	 * @param document the document
	 * @return the bytes as the operator sent them
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
