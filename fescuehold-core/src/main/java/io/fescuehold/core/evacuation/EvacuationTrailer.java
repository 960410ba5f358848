package io.fescuehold.core.evacuation;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Appends the evacuations to the snapshot of a routing document. A version without
 * evacuations takes the trailer for a part of the compressed content, whose decompression
 * ends before it. Nothing is appended before the first order.
 */
public final class EvacuationTrailer {

	/** Ends each snapshot that has a trailer. */
	private static final long MARK = 0x6576_6163_7561_7465L;

	private static final int END_BYTES = Integer.BYTES + Long.BYTES;

	private EvacuationTrailer() {
	}

	/**
	 * Appends the evacuations.
	 * @param document the encoded document
	 * @param evacuations the evacuations
	 * @return the snapshot
	 */
	public static byte[] append(byte[] document, Evacuations evacuations) {
		if (evacuations.revision() == 0) {
			return document;
		}
		byte[] encoded = evacuations.encode();
		return ByteBuffer.allocate(document.length + encoded.length + END_BYTES)
			.put(document)
			.put(encoded)
			.putInt(encoded.length)
			.putLong(MARK)
			.array();
	}

	/**
	 * Returns the document of a snapshot.
	 * @param snapshot the snapshot, with or without a trailer
	 * @return the encoded document
	 */
	public static byte[] document(byte[] snapshot) {
		return Arrays.copyOf(snapshot, snapshot.length - trailerBytes(snapshot));
	}

	/**
	 * Returns the evacuations of a snapshot.
	 * @param snapshot the snapshot, with or without a trailer
	 * @return the evacuations, {@link Evacuations#NONE} if there is no trailer
	 */
	public static Evacuations evacuations(byte[] snapshot) {
		int trailerBytes = trailerBytes(snapshot);
		return (trailerBytes == 0) ? Evacuations.NONE : Evacuations
			.decode(Arrays.copyOfRange(snapshot, snapshot.length - trailerBytes, snapshot.length - END_BYTES));
	}

	private static int trailerBytes(byte[] snapshot) {
		if (snapshot.length < END_BYTES) {
			return 0;
		}
		ByteBuffer end = ByteBuffer.wrap(snapshot, snapshot.length - END_BYTES, END_BYTES);
		int encodedBytes = end.getInt();
		return (end.getLong() == MARK) ? encodedBytes + END_BYTES : 0;
	}

}
