package io.fescuehold.core.relay;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

/**
 * Selects and encodes the samples that are due to be sent to one neighbour. Samples that
 * changed most and samples that were not sent for longest come first. Samples that exceed
 * the size limit are left for the next message, so the traffic is bounded.
 *
 * <p>
 * Format: the number of samples (two bytes), the encoding of the positions (one byte),
 * the positions as a bitmap or as gaps, whichever is smaller, one byte per sample with
 * its step, then half a byte per sample with the age in units of 400 ms and a bit that is
 * set if the server is full.
 */
public final class DigestLink {

	/** Samples older than this, in milliseconds, are not forwarded. */
	public static final long MAX_AGE_MS = 2_800;

	private static final int AGE_UNIT_MS = 400;

	private static final int MAX_AGE_UNITS = 7;

	private static final int FULL_BIT = 8;

	private static final int MIN_CHANGE_STEPS = 2;

	private static final long RESEND_INTERVAL_MS = 2_000;

	/**
	 * Each 500 ms between the sample that was sent last and the newest one count as a
	 * change of one step.
	 */
	private static final double UNSENT_MS_PER_STEP = 500;

	private static final int HEADER_BYTES = 3;

	private static final int BITMAP_ENCODING = 0;

	private static final int GAP_ENCODING = 1;

	private static final int MAX_GAP = 255;

	private final LoadDigest digest;

	private final int[] sentSteps;

	private final boolean[] sentFull;

	private final long[] sentSampledAtMs;

	/**
	 * Creates a link to a neighbour to which nothing has been sent.
	 * @param digest the samples known at this host
	 */
	public DigestLink(LoadDigest digest) {
		this.digest = digest;
		this.sentSteps = new int[digest.size()];
		this.sentFull = new boolean[digest.size()];
		this.sentSampledAtMs = new long[digest.size()];
		Arrays.fill(this.sentSampledAtMs, Long.MIN_VALUE);
	}

	/**
	 * Records that a sample came from the neighbour, so that it is not sent back.
	 * @param index the index of the server
	 */
	void markReceived(int index) {
		markSent(index);
	}

	/**
	 * Encodes the samples due for the neighbour and marks them as sent.
	 * @param nowMs the time in milliseconds
	 * @param maxBytes the maximum size of the message in bytes
	 * @return the message, or null if nothing is due
	 */
	public byte[] encode(long nowMs, int maxBytes) {
		List<Integer> due = new ArrayList<>();
		for (int index = 0; index < this.digest.size(); index++) {
			if (isDue(index, nowMs)) {
				due.add(index);
			}
		}
		int maxSamples = maxSamples(maxBytes);
		if (due.size() > maxSamples) {
			due.sort(Comparator.comparingDouble((Integer index) -> -urgency(index)));
			due = new ArrayList<>(due.subList(0, maxSamples));
		}
		if (due.isEmpty()) {
			return null;
		}
		due.sort(Comparator.naturalOrder());
		byte[] message = encode(due, nowMs);
		due.forEach(this::markSent);
		return message;
	}

	private boolean isDue(int index, long nowMs) {
		long sampledAtMs = this.digest.sampledAtMs(index);
		if (!this.digest.isKnown(index) || sampledAtMs <= this.sentSampledAtMs[index]
				|| nowMs - sampledAtMs > MAX_AGE_MS) {
			return false;
		}
		return this.sentSampledAtMs[index] == Long.MIN_VALUE || this.sentFull[index] != this.digest.isFull(index)
				|| Math.abs(this.sentSteps[index] - this.digest.step(index)) >= MIN_CHANGE_STEPS
				|| sampledAtMs - this.sentSampledAtMs[index] >= RESEND_INTERVAL_MS;
	}

	private double urgency(int index) {
		if (this.sentSampledAtMs[index] == Long.MIN_VALUE || this.sentFull[index] != this.digest.isFull(index)) {
			return Double.MAX_VALUE;
		}
		return Math.abs(this.sentSteps[index] - this.digest.step(index))
				+ (this.digest.sampledAtMs(index) - this.sentSampledAtMs[index]) / UNSENT_MS_PER_STEP;
	}

	private void markSent(int index) {
		this.sentSteps[index] = this.digest.step(index);
		this.sentFull[index] = this.digest.isFull(index);
		this.sentSampledAtMs[index] = this.digest.sampledAtMs(index);
	}

	private int maxSamples(int maxBytes) {
		int withGaps = (int) ((maxBytes - HEADER_BYTES - size() / MAX_GAP) / 2.5);
		int withBitmap = (int) ((maxBytes - HEADER_BYTES - bitmapBytes()) / 1.5);
		return Math.max(1, Math.max(withGaps, withBitmap));
	}

	private int size() {
		return this.digest.size();
	}

	private int bitmapBytes() {
		return (size() + Byte.SIZE - 1) / Byte.SIZE;
	}

	private byte[] encode(List<Integer> indexes, long nowMs) {
		int count = indexes.size();
		byte[] positions = positions(indexes);
		byte[] message = new byte[HEADER_BYTES + positions.length + count + (count + 1) / 2];
		message[0] = (byte) (count >> Byte.SIZE);
		message[1] = (byte) count;
		message[2] = (byte) ((positions.length == bitmapBytes()) ? BITMAP_ENCODING : GAP_ENCODING);
		System.arraycopy(positions, 0, message, HEADER_BYTES, positions.length);
		int stepsOffset = HEADER_BYTES + positions.length;
		for (int sample = 0; sample < count; sample++) {
			int index = indexes.get(sample);
			message[stepsOffset + sample] = (byte) this.digest.step(index);
			long ageMs = Math.max(0, nowMs - this.digest.sampledAtMs(index));
			// Ages are rounded up, so that a sample never appears newer than it is.
			int age = (int) Math.min(MAX_AGE_UNITS, (ageMs + AGE_UNIT_MS - 1) / AGE_UNIT_MS);
			int nibble = age | (this.digest.isFull(index) ? FULL_BIT : 0);
			message[stepsOffset + count + sample / 2] |= (byte) (nibble << ((sample % 2) * 4));
		}
		return message;
	}

	private byte[] positions(List<Integer> indexes) {
		byte[] gaps = gaps(indexes);
		if (gaps.length < bitmapBytes()) {
			return gaps;
		}
		byte[] bitmap = new byte[bitmapBytes()];
		indexes.forEach((index) -> bitmap[index / Byte.SIZE] |= (byte) (1 << (index % Byte.SIZE)));
		return bitmap;
	}

	private static byte[] gaps(List<Integer> indexes) {
		ByteArrayOutputStream gaps = new ByteArrayOutputStream();
		int previous = -1;
		for (int index : indexes) {
			int gap = index - previous - 1;
			while (gap >= MAX_GAP) {
				gaps.write(MAX_GAP);
				gap -= MAX_GAP;
			}
			gaps.write(gap);
			previous = index;
		}
		return gaps.toByteArray();
	}

	/**
	 * Merges the samples of a message into the digest and records that the neighbour has
	 * them.
	 * @param message the message
	 * @param nowMs the time in milliseconds
	 * @return the number of samples that were newer than those known
	 * @throws IllegalArgumentException if the message is malformed
	 */
	public int decode(byte[] message, long nowMs) {
		try {
			return decodeChecked(message, nowMs);
		}
		catch (IndexOutOfBoundsException ex) {
			throw new IllegalArgumentException(
					"The load message of " + message.length + " bytes is malformed; check the sender's version", ex);
		}
	}

	private int decodeChecked(byte[] message, long nowMs) {
		int count = (Byte.toUnsignedInt(message[0]) << Byte.SIZE) | Byte.toUnsignedInt(message[1]);
		int[] indexes = new int[count];
		int stepsOffset = (message[2] == BITMAP_ENCODING) ? readBitmap(message, indexes) : readGaps(message, indexes);
		int newer = 0;
		for (int sample = 0; sample < count; sample++) {
			int nibble = (message[stepsOffset + count + sample / 2] >> ((sample % 2) * 4)) & 0xf;
			long sampledAtMs = nowMs - (long) (nibble & MAX_AGE_UNITS) * AGE_UNIT_MS;
			int index = indexes[sample];
			if (this.digest.offer(index, Byte.toUnsignedInt(message[stepsOffset + sample]), (nibble & FULL_BIT) != 0,
					sampledAtMs)) {
				newer++;
				markReceived(index);
			}
		}
		return newer;
	}

	private int readBitmap(byte[] message, int[] indexes) {
		int found = 0;
		for (int index = 0; index < size() && found < indexes.length; index++) {
			if ((message[HEADER_BYTES + index / Byte.SIZE] & (1 << (index % Byte.SIZE))) != 0) {
				indexes[found++] = index;
			}
		}
		if (found < indexes.length) {
			throw new IndexOutOfBoundsException("samples in the bitmap: " + found + " of " + indexes.length);
		}
		return HEADER_BYTES + bitmapBytes();
	}

	private static int readGaps(byte[] message, int[] indexes) {
		int offset = HEADER_BYTES;
		int previous = -1;
		for (int sample = 0; sample < indexes.length; sample++) {
			int gap = 0;
			int part = MAX_GAP;
			while (part == MAX_GAP) {
				part = Byte.toUnsignedInt(message[offset++]);
				gap += part;
			}
			previous += gap + 1;
			indexes[sample] = previous;
		}
		return offset;
	}

}
