package io.fescuehold.daemon.gateway;

import java.nio.file.Path;
import java.util.List;
import java.util.Objects;

import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;

/**
 * Settings of a gateway daemon.
 *
 * @param hostId the own IP number, by which the other daemons know this one
 * @param failureDomain the own failure domain
 * @param callerPort the port that callers reach
 * @param peerPort the port at which every daemon accepts messages of the others
 * @param operationsPort the port of metrics and dumps
 * @param seeds the IP numbers of the daemons that are asked first
 * @param firstStart whether the whole fleet starts for the first time with empty disks
 * @param dataFolder the folder of the replica, or null if the host has no disk
 * @param losses the hosts with a disk that may be lost at the same time
 * @param revocationMs the time in milliseconds within which a revoked key is out of use
 * @param retryRatio the repeats that the fleet may send for each request
 * @param retryExtra the repeats that the fleet may send besides
 * @param retryWindowMs the window in milliseconds of the two limits
 * @param stopMs the time in milliseconds that the process has to stop
 * @param maxEntryValidMs the longest validity in milliseconds of an entry answer
 */
public record GatewaySettings(String hostId, String failureDomain, int callerPort, int peerPort, int operationsPort,
		List<String> seeds, boolean firstStart, Path dataFolder, int losses, long revocationMs, double retryRatio,
		double retryExtra, long retryWindowMs, long stopMs, long maxEntryValidMs) {

	private static final int MAX_PORT = 65_535;

	/**
	 * Checks the arguments and copies the list.
	 */
	public GatewaySettings {
		Objects.requireNonNull(hostId, "hostId");
		Objects.requireNonNull(failureDomain, "failureDomain");
		seeds = List.copyOf(seeds);
		checkPort("callerPort", callerPort);
		checkPort("peerPort", peerPort);
		checkPort("operationsPort", operationsPort);
		checkPositive("revocationMs", revocationMs);
		checkPositive("retryWindowMs", retryWindowMs);
		checkPositive("stopMs", stopMs);
		if (retryRatio < 0 || retryExtra < 0) {
			throw bad("retryRatio, retryExtra", retryRatio + ", " + retryExtra, "use 0 or more");
		}
	}

	private static void checkPort(String name, int port) {
		if (port < 0 || port > MAX_PORT) {
			throw bad(name, port, "use a port from 0 to " + MAX_PORT);
		}
	}

	private static void checkPositive(String name, long value) {
		if (value <= 0) {
			throw bad(name, value, "use a positive number of milliseconds");
		}
	}

	private static FescueholdException bad(String name, Object seen, String remedy) {
		return new FescueholdException(ErrorCode.BAD_SETTING, "gateway settings", name, "is " + seen + "; " + remedy);
	}

}
