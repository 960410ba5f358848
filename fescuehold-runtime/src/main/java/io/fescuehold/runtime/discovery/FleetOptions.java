package io.fescuehold.runtime.discovery;

import java.nio.file.Path;
import java.util.List;
import java.util.Objects;

import io.fescuehold.core.agreement.AgreementTiming;

/**
 * Options of a daemon in a discovered fleet.
 *
 * @param hostId the host id of this daemon, which is its IP address
 * @param failureDomain the failure domain of this daemon
 * @param peerPort the port on which every daemon accepts messages from the others
 * @param seeds the host ids of the daemons that are contacted first
 * @param firstStart whether the whole fleet starts for the first time with empty disks
 * @param dataFolder the folder for the replica, or null if the host has no disk
 * @param losses the number of hosts with a disk that may fail at the same time
 * @param startedAtMs the latest time at which the process may have started, in
 * milliseconds of the fleet's clock
 * @param timing the time-outs and intervals
 */
public record FleetOptions(String hostId, String failureDomain, int peerPort, List<String> seeds, boolean firstStart,
		Path dataFolder, int losses, long startedAtMs, Timing timing) {

	/**
	 * The timing of the agreement group: a failed leader is replaced within about a
	 * second, and a few lost packets do not cause an election.
	 */
	public static final AgreementTiming AGREEMENT = new AgreementTiming(150, 600, 450, 400);

	/**
	 * Checks the arguments and copies the list.
	 */
	public FleetOptions {
		Objects.requireNonNull(hostId, "hostId");
		Objects.requireNonNull(failureDomain, "failureDomain");
		seeds = List.copyOf(seeds);
	}

	/**
	 * Returns whether this host chooses the initial members of the group.
	 * @return whether it is the first of the seeds
	 */
	boolean isFirstSeed() {
		return !this.seeds.isEmpty() && this.seeds.getFirst().equals(this.hostId);
	}

	/**
	 * The time-outs and intervals of a discovered fleet in milliseconds.
	 *
	 * @param holdMs the time for which the leader holds a pull without updates
	 * @param pullTimeoutMs the time-out of a pull, after which another daemon is tried
	 * @param pullPauseMs the pause after a failed pull
	 * @param silenceMs the time without a message after which a daemon counts as dead
	 * @param absenceMs the time without a message after which another host replaces a
	 * voter
	 * @param listMs the interval at which the leader reads the server list
	 * @param listFallbackMs the mean interval at which a daemon that has lost the leader
	 * reads the server list
	 * @param formWaitMs the time after which a group is formed with fewer hosts than
	 * intended
	 * @param submitMs the time-out of an operator's call to the leader
	 */
	public record Timing(long holdMs, long pullTimeoutMs, long pullPauseMs, long silenceMs, long absenceMs, long listMs,
			long listFallbackMs, long formWaitMs, long submitMs) {

		/**
		 * Timing for a few dozen daemons with a network latency of about a millisecond,
		 * where a revocation takes effect within five seconds.
		 */
		public static final Timing DEFAULT = new Timing(350, 800, 60, 2_000, 1_200, 1_000, 2_500, 5_000, 850);

	}

}
