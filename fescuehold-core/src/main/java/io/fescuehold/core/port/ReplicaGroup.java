package io.fescuehold.core.port;

import reactor.core.publisher.Mono;

/**
 * This host's replica of one agreement group.
 */
public interface ReplicaGroup {

	/**
	 * Proposes a command.
	 * @param command the command
	 * @return the outcome once the command is durable on a majority and applied here;
	 * errors with code NOT_LEADER, NO_QUORUM, STORAGE_FULL (not accepted) or
	 * OUTCOME_UNKNOWN (may yet be accepted)
	 */
	Mono<byte[]> propose(byte[] command);

	/**
	 * Waits until a read of the state machine is current.
	 * @return completes once everything committed before the call is applied here and
	 * this replica has proved that it leads; errors with code NOT_LEADER or NO_QUORUM
	 */
	Mono<Void> readBarrier();

	/**
	 * Returns the host id of the leader known to this replica.
	 * @return the host id, or null if no leader is known
	 */
	String leaderHostId();

}
