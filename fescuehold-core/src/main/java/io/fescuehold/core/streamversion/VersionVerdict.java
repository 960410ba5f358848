package io.fescuehold.core.streamversion;

/**
 * What is known of the version that began a stream.
 */
public sealed interface VersionVerdict {

	/**
	 * A host has a record of the stream.
	 *
	 * @param record the record
	 */
	record Recorded(StreamRecord record) implements VersionVerdict {
	}

	/**
	 * No other version can have begun the stream.
	 *
	 * @param version the version
	 */
	record OnlyVersion(String version) implements VersionVerdict {
	}

	/**
	 * Further answers can decide.
	 */
	record Open() implements VersionVerdict {
	}

	/**
	 * The version is unknown and must not be guessed.
	 *
	 * @param reason the reason, for people
	 */
	record Unknown(String reason) implements VersionVerdict {
	}

}
