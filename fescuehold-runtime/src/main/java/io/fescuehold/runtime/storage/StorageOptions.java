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

	/** The default of {@link #segmentBytes()}. */
	public static final long DEFAULT_SEGMENT_BYTES = 16L << 20;

	/**
	 * The default of {@link #reserveBytes()}: room for two segments, so that entries that
	 * were accepted before the disk became full can still be written.
	 */
	public static final long DEFAULT_RESERVE_BYTES = 32L << 20;

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
	 * Creates options with the default sizes.
	 * @param folder the folder
	 * @return the options
	 */
	public static StorageOptions of(Path folder) {
		return new StorageOptions(folder, DEFAULT_SEGMENT_BYTES, DEFAULT_RESERVE_BYTES);
	}

}
