package io.fescuehold.runtime.discovery;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import io.fescuehold.core.port.PeerMessage;
import io.fescuehold.core.streamversion.StreamRecord;

/**
 * Messages on the software version that began each stream.
 */
public sealed interface StreamMessage extends PeerMessage {

	/**
	 * Asks the receiver to keep records of streams. The reply is {@link Kept}.
	 *
	 * @param records the records
	 * @param served the versions that the sender has observed, by service
	 */
	record Keep(List<StreamRecord> records, Map<String, Set<String>> served) implements StreamMessage {

		// A daemon of another version may leave out components.
		public Keep {
			records = List.copyOf(Objects.requireNonNullElse(records, List.of()));
			served = Objects.requireNonNullElse(served, Map.of());
		}

	}

	/**
	 * Confirms that the records are kept.
	 *
	 * @param durable whether they survive a loss of power
	 * @param served the versions that the replying host knows, by service
	 * @param complete whether these are all that can have begun streams
	 */
	record Kept(boolean durable, Map<String, Set<String>> served, boolean complete) implements StreamMessage {

		// A daemon of another version may leave out components.
		public Kept {
			served = Objects.requireNonNullElse(served, Map.of());
		}

	}

	/**
	 * Asks which version began a stream. The reply is {@link Found}.
	 *
	 * @param streamId the id of the stream
	 * @param service the service on which the stream is taken up
	 */
	record Find(String streamId, String service) implements StreamMessage {
	}

	/**
	 * The reply to {@link Find}.
	 *
	 * @param record the record of the stream, or null if there is none
	 * @param served the versions of the service that can have begun the stream
	 * @param complete whether no other version that the replying host did not observe can
	 * have begun it
	 */
	record Found(StreamRecord record, Set<String> served, boolean complete) implements StreamMessage {

		// A daemon of another version may leave out components.
		public Found {
			served = Objects.requireNonNullElse(served, Set.of());
		}

	}

}
