package io.fescuehold.core.state;

import java.util.List;

/**
 * A snapshot of a share's state machine.
 *
 * @param nowMs the time of the last command in milliseconds since the epoch
 * @param configJson the canonical JSON of the configuration in force
 * @param observed the latest observations of other shares
 * @param submissions the submissions whose outcome is retained
 * @param calls the call records
 * @param leases the order leases
 * @param lastLeaseNumber the highest fencing number granted with an order lease
 * @param transfers the last transfer of each released or claimed item
 */
public record StateSnapshot(long nowMs, byte[] configJson, List<StateCommand.ObserveShare> observed,
		List<AcceptedSubmission> submissions, List<CallRecord> calls, List<OrderLease> leases, long lastLeaseNumber,
		List<Transfers.Entry> transfers) {

}
