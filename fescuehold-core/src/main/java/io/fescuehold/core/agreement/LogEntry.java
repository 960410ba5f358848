package io.fescuehold.core.agreement;

import java.util.Objects;

/**
 * An entry of the replicated log.
 *
 * @param index the position in the log, from 1
 * @param term the term of the leader that created the entry
 * @param kind the kind
 * @param data the content
 */
public record LogEntry(long index, long term, EntryKind kind, byte[] data) {

	/**
	 * Checks the arguments.
	 */
	public LogEntry {
		Objects.requireNonNull(kind, "kind");
		Objects.requireNonNull(data, "data");
	}

}
