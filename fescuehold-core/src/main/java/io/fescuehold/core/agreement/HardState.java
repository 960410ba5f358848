package io.fescuehold.core.agreement;

/**
 * The term and vote that a replica keeps durably.
 *
 * @param term the newest term seen
 * @param votedFor the candidate that got this replica's vote in the term, or null
 */
public record HardState(long term, ReplicaId votedFor) {

	/** The state of an empty store. */
	public static final HardState INITIAL = new HardState(0, null);

}
