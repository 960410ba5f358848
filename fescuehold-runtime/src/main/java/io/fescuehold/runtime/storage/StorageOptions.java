package io.fescuehold.runtime.storage;

import java.nio.file.Path;
import java.util.Objects;

/**
 * Options of a disk store.
 *
 * @param folder the folder of the store, which is created if it is missing
 * @param segmentBytes the size in bytes at which a segment file is full and a new one is
 * started
 * @param reserveBytes the free space in bytes below which the disk is reported as full
 */
public record StorageOptions(Path folder, long segmentBytes, long reserveBytes) {

	/** The size of a segment on a large disk. */
	public static final long DEFAULT_SEGMENT_BYTES = 16L << 20;

	/**
	 * The reserve on a large disk: room for two segments, so that entries that were
	 * accepted before the disk became full can still be written.
	 */
	public static final long DEFAULT_RESERVE_BYTES = 32L << 20;

	/**
	 * The reserve as a part of a small disk. The log and its snapshots have to fit beside
	 * it, or the store itself would make the disk count as full.
	 */
	private static final int RESERVE_DIVISOR = 8;

	private static final int SEGMENTS_PER_RESERVE = 2;

	/**
	 * Checks the arguments.
	 */
	public StorageOptions {
		Objects.requireNonNull(folder, "folder");
		if (segmentBytes < 1 || reserveBytes < 0) {
			throw new IllegalArgumentException("segmentBytes must be positive and reserveBytes must not be negative");
		}
	}

	/**
	 * Creates options for the size of a disk.
	 * @param folder the folder
	 * @param diskBytes the size of the disk in bytes
	 * @return the options
	 */
	public static StorageOptions of(Path folder, long diskBytes) {
		long reserveBytes = Math.min(DEFAULT_RESERVE_BYTES, diskBytes / RESERVE_DIVISOR);
		long segmentBytes = Math.clamp(reserveBytes / SEGMENTS_PER_RESERVE, 1, DEFAULT_SEGMENT_BYTES);
		return new StorageOptions(folder, segmentBytes, reserveBytes);
	}

}
