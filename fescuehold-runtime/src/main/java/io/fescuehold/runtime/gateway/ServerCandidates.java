package io.fescuehold.runtime.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.error.RunStatus;
import io.fescuehold.core.limits.ReturnSchedule;
import io.fescuehold.core.servers.ServerState;

/**
 * The servers that take a request now, and the refusal of one that none takes. Not
 * thread-safe: confined to one thread.
 */
final class ServerCandidates {

	/** A paused server is usually available again within this time. */
	private static final long NO_SERVER_RETRY_AFTER_MS = 300;

	/** Crashed servers have mostly restarted, and the list shows it, within this time. */
	private static final long VERSION_RETRY_AFTER_MS = 1_000;

	/** A domain is given back seconds after it was evacuated, at the earliest. */
	private static final long EVACUATED_RETRY_AFTER_MS = 1_000;

	private static final long MIN_LIMIT_RETRY_AFTER_MS = 50;

	private static final long MAX_LIMIT_RETRY_AFTER_MS = 5_000;

	private final GatewayBelief belief;

	/** The time for which streams may be continued at a server that is about to stop. */
	private final long leavingUseMs;

	private final GatewayMetrics metrics;

	private final ColdLimits coldLimits;

	private final ReturnSchedule returns = new ReturnSchedule();

	ServerCandidates(GatewayBelief belief, long leavingUseMs, GatewayMetrics metrics, ColdLimits coldLimits) {
		this.belief = belief;
		this.leavingUseMs = leavingUseMs;
		this.metrics = metrics;
		this.coldLimits = coldLimits;
	}

	/**
	 * Returns the servers that take a request apart from limits: those that are not
	 * paused, or else the paused ones, or else the leaving ones of the bound version.
	 * None is in a failure domain under evacuation.
	 * @param service the service
	 * @param tried the servers that were tried before
	 * @param binding the servers that may send events of the stream
	 * @param nowMs the time in milliseconds
	 * @return the servers
	 */
	List<ServerState> of(String service, Set<String> tried, VersionBinding binding, long nowMs) {
		List<ServerState> usable = new ArrayList<>();
		List<ServerState> paused = new ArrayList<>();
		List<ServerState> leaving = new ArrayList<>();
		for (ServerState server : this.belief.servers().of(service)) {
			if (tried.contains(server.server().id()) || !binding.allows(server, nowMs) || isEvacuated(server)
					|| this.belief.intake().isResting(server.server().id(), nowMs)) {
				continue;
			}
			if (this.belief.intake().leavingMs(server, nowMs) >= 0) {
				leaving.add(server);
			}
			else {
				(server.health().isUsable(nowMs) ? usable : paused).add(server);
			}
		}
		if (usable.isEmpty() && paused.isEmpty() && binding instanceof VersionBinding.ToVersion) {
			return leaving.stream().filter((server) -> maySend(server, nowMs)).toList();
		}
		// A request that has failed elsewhere is not used to find out whether a server is
		// back.
		List<ServerState> proven = usable.stream().filter((server) -> !server.health().isUnproven()).toList();
		if (!tried.isEmpty() && !proven.isEmpty()) {
			return proven;
		}
		return usable.isEmpty() ? paused : usable;
	}

	/**
	 * Returns the servers whose limits leave room for a request of this host.
	 * @param service the service
	 * @param servers the servers
	 * @param nowMs the time in milliseconds
	 * @return some or all of the servers
	 */
	List<ServerState> withinLimits(String service, List<ServerState> servers, long nowMs) {
		List<ServerState> withRoom = this.coldLimits.withRoom(service, servers, nowMs);
		if (this.belief.requestLimits().isEmpty()) {
			return withRoom;
		}
		double loadFraction = this.belief.loadFraction(service);
		return withRoom.stream()
			.filter((server) -> this.belief.requestLimits().hasRoom(server, loadFraction, nowMs))
			.filter((server) -> this.belief.requestLimits().isAllowed(server.server().id(), loadFraction, nowMs))
			.toList();
	}

	/**
	 * Returns the servers from which prompt parts may be copied. A server that leaves or
	 * is in a failure domain under evacuation can still hand its memory on.
	 * @param servers the servers
	 * @param nowMs the time in milliseconds
	 * @return those that do not rest
	 */
	List<ServerState> copySources(List<ServerState> servers, long nowMs) {
		return servers.stream()
			.filter((server) -> !this.belief.intake().isResting(server.server().id(), nowMs))
			.toList();
	}

	/**
	 * Returns whether a request that was placed may still be sent.
	 * @param server the server
	 * @param nowMs the time in milliseconds
	 * @return whether the server neither rests nor has been leaving for too long, nor is
	 * in a failure domain under evacuation
	 */
	boolean maySend(ServerState server, long nowMs) {
		return !isEvacuated(server) && this.belief.intake().maySend(server, this.leavingUseMs, nowMs);
	}

	private boolean isEvacuated(ServerState server) {
		return this.belief.evacuations().isEvacuated(server.server().failureDomain());
	}

	/**
	 * Creates the refusal of a request that no server takes.
	 * @param service the service
	 * @param overLimit the servers that take no more requests because of a limit
	 * @param binding the servers that may send events of the stream
	 * @param nowMs the time in milliseconds
	 * @return the refusal, with code NO_SERVER, DOMAIN_EVACUATED, STREAM_VERSION_GONE or
	 * OVERLOADED
	 */
	FescueholdException refusal(String service, List<ServerState> overLimit, VersionBinding binding, long nowMs) {
		if (!overLimit.isEmpty()) {
			return limitExceeded(service, overLimit, nowMs);
		}
		FescueholdException resting = restRefusal(service, binding, nowMs);
		if (resting != null) {
			return resting;
		}
		List<ServerState> servers = this.belief.servers().of(service);
		if (!servers.isEmpty() && servers.stream().allMatch(this::isEvacuated)) {
			this.metrics.evacuated(service);
			return FescueholdException.of(ErrorCode.DOMAIN_EVACUATED, RunStatus.NO, EVACUATED_RETRY_AFTER_MS, service);
		}
		return (binding instanceof VersionBinding.ToVersion(String version))
				? FescueholdException.of(ErrorCode.STREAM_VERSION_GONE, RunStatus.NO, VERSION_RETRY_AFTER_MS, version,
						service)
				: FescueholdException.of(ErrorCode.NO_SERVER, RunStatus.NO, NO_SERVER_RETRY_AFTER_MS, service);
	}

	/**
	 * Creates the refusal of a request whose servers all rest.
	 * @param service the service
	 * @param binding the servers that may send events of the stream
	 * @param nowMs the time in milliseconds
	 * @return the refusal with the time at which the first server takes requests again,
	 * or null if some server does not rest
	 */
	FescueholdException restRefusal(String service, VersionBinding binding, long nowMs) {
		List<String> staying = this.belief.servers()
			.of(service)
			.stream()
			.filter((server) -> binding.allows(server, nowMs) && !isEvacuated(server)
					&& this.belief.intake().leavingMs(server, nowMs) < 0)
			.map((server) -> server.server().id())
			.toList();
		if (staying.isEmpty()
				|| !staying.stream().allMatch((serverId) -> this.belief.intake().isResting(serverId, nowMs))) {
			return null;
		}
		this.metrics.resting(service);
		long earliestMs = this.belief.intake().earliestRestEndMs(staying, nowMs);
		return returnLater(service, earliestMs, MIN_LIMIT_RETRY_AFTER_MS, nowMs);
	}

	private FescueholdException limitExceeded(String service, List<ServerState> servers, long nowMs) {
		this.metrics.limited(service);
		List<String> limited = servers.stream()
			.map((server) -> server.server().id())
			.filter((serverId) -> this.belief.requestLimits().isLimited(serverId, nowMs))
			.toList();
		long coldWaitMs = this.coldLimits.meanWaitMs(service, servers, nowMs);
		long waitMs = MIN_LIMIT_RETRY_AFTER_MS;
		if (coldWaitMs >= 0) {
			this.metrics.coldHeld(service);
			waitMs = coldWaitMs;
		}
		if (!limited.isEmpty()) {
			waitMs = this.belief.requestLimits().meanWaitMs(limited, this.belief.loadFraction(service), nowMs);
		}
		return returnLater(service, nowMs, waitMs, nowMs);
	}

	// Callers return one after the other in the order of their refusals, at the rate that
	// the limits allow.
	private FescueholdException returnLater(String service, long earliestMs, long waitMs, long nowMs) {
		long returnAtMs = this.returns.returnAtMs(service, earliestMs, waitMs, MIN_LIMIT_RETRY_AFTER_MS,
				MAX_LIMIT_RETRY_AFTER_MS, nowMs);
		return FescueholdException.of(ErrorCode.OVERLOADED, RunStatus.NO, returnAtMs - nowMs, service);
	}

}
