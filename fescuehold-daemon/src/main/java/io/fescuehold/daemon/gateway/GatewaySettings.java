package io.fescuehold.daemon.gateway;

import java.nio.file.Path;
import java.util.List;
import java.util.Objects;

import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.limits.ServingPolicy;
import io.fescuehold.runtime.backend.BackendOptions;
import io.fescuehold.runtime.gateway.GatewayOptions;

/**
 * Settings of a gateway daemon.
 *
 * @param hostId the IP address of this daemon, which is also its id in the fleet
 * @param failureDomain the failure domain of this daemon
 * @param callerPort the port for callers
 * @param peerPort the port for messages between daemons, the same on every daemon
 * @param relayPort the port for requests that daemons pass on for each other, the same on
 * every daemon
 * @param operationsPort the port of metrics and state dumps
 * @param seeds the IP addresses of the daemons that are contacted first
 * @param firstStart whether the whole fleet starts for the first time with empty disks
 * @param dataFolder the folder of the replica, or null if the host has no disk
 * @param losses the number of hosts with a disk that may fail at the same time
 * @param revocationMs the time in milliseconds within which a revoked API key stops
 * working
 * @param retryRatio the number of retries that the fleet may send per request
 * @param retryExtra the number of additional retries that the fleet may send per window
 * @param retryWindowMs the window of the two retry limits in milliseconds
 * @param serverDrainMs the time in milliseconds for which a server that is about to stop
 * still serves, counted from its entry in the list
 * @param stopMs the time in milliseconds that the process has for a graceful stop
 * @param maxEntryValidMs the longest time in milliseconds for which a caller may use an
 * entry response
 * @param policy the operators' bounds on where and how often requests are sent
 * @param maxDescriptors the descriptors that the process may open
 */
public record GatewaySettings(String hostId, String failureDomain, int callerPort, int peerPort, int relayPort,
		int operationsPort, List<String> seeds, boolean firstStart, Path dataFolder, int losses, long revocationMs,
		double retryRatio, double retryExtra, long retryWindowMs, long serverDrainMs, long stopMs, long maxEntryValidMs,
		ServingPolicy policy, int maxDescriptors) {

	/** The descriptors of a process whose settings name no limit. */
	public static final int DEFAULT_MAX_DESCRIPTORS = 4_096;

	/**
	 * The fraction of the revocation time after which API keys are refused if the
	 * configuration has not been confirmed again.
	 */
	private static final double KEY_AGE_FRACTION = 0.8;

	/**
	 * The age of the configuration from which an unknown route may have been added since.
	 */
	private static final long ABSENCE_AGE_MS = 1_000;

	/** The part of the heap that bodies and events may take. */
	private static final int HEAP_FRACTION = 3;

	/**
	 * The part of the descriptors for connections of callers, each of which may need
	 * another one to a server.
	 */
	private static final int CALLER_PART = 4;

	private static final BackendOptions BACKEND = new BackendOptions(400, 1_000, 1_000, 400, 4_000, 32_768);

	private static final int MAX_PORT = 65_535;

	private static final int MIN_DESCRIPTORS = 128;

	/**
	 * Checks the arguments and copies the list.
	 */
	public GatewaySettings {
		Objects.requireNonNull(hostId, "hostId");
		Objects.requireNonNull(failureDomain, "failureDomain");
		Objects.requireNonNull(policy, "policy");
		seeds = List.copyOf(seeds);
		checkPort("callerPort", callerPort);
		checkPort("peerPort", peerPort);
		checkPort("relayPort", relayPort);
		checkPort("operationsPort", operationsPort);
		checkPositive("revocationMs", revocationMs);
		checkPositive("retryWindowMs", retryWindowMs);
		checkPositive("stopMs", stopMs);
		if (maxDescriptors < MIN_DESCRIPTORS) {
			throw invalid("maxDescriptors", maxDescriptors, "allow at least " + MIN_DESCRIPTORS);
		}
		if (retryRatio < 0 || retryExtra < 0) {
			throw invalid("retryRatio, retryExtra", retryRatio + ", " + retryExtra, "use 0 or more");
		}
	}

	/**
	 * Returns the age of the configuration from which on requests with a key are refused.
	 * @return the age in milliseconds
	 */
	long keyAgeMs() {
		return (long) (this.revocationMs * KEY_AGE_FRACTION);
	}

	/**
	 * Returns the options of the gateway of a daemon with these settings.
	 * @return the options
	 */
	GatewayOptions gatewayOptions() {
		return new GatewayOptions(this.hostId, this.callerPort, this.relayPort, this.failureDomain, keyAgeMs(),
				ABSENCE_AGE_MS, this.retryRatio, this.retryExtra, this.retryWindowMs, this.firstStart,
				this.serverDrainMs / 2, Runtime.getRuntime().maxMemory() / HEAP_FRACTION, BACKEND, this.policy,
				this.maxDescriptors / CALLER_PART);
	}

	private static void checkPort(String name, int port) {
		if (port < 0 || port > MAX_PORT) {
			throw invalid(name, port, "use a port from 0 to " + MAX_PORT);
		}
	}

	private static void checkPositive(String name, long value) {
		if (value <= 0) {
			throw invalid(name, value, "use a positive number of milliseconds");
		}
	}

	private static FescueholdException invalid(String name, Object value, String remedy) {
		return new FescueholdException(ErrorCode.BAD_SETTING, "gateway settings", name, "is " + value + "; " + remedy);
	}

}
