package io.fescuehold.core.limits;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

import io.fescuehold.core.servers.ServerState;

/**
 * What servers said of themselves in their responses to this daemon: that they leave, or
 * that they want nothing from it for a while. Together with the server list it decides
 * whether a server takes a request, a retry, the continuation of a stream or a copy of
 * prompt parts; {@link ServerRequestLimits} decides how many. Connections that only check
 * whether a server listens are not affected. What a server said is forgotten when its
 * process has ended. Not thread-safe: confined to one thread.
 */
public final class ServerIntake {

	/** Longer rests are shortened, so that a wrong value cannot cause an outage. */
	public static final long MAX_REST_MS = 60_000;

	/** A server that was not asked for this time may have changed its mind. */
	static final long LEAVING_EXPIRY_MS = 60_000;

	private final Map<String, Statement> statements = new HashMap<>();

	/**
	 * Records that a server wants no requests from this daemon for a while.
	 * @param serverId the instance id of the server
	 * @param restMs the time in milliseconds
	 * @param nowMs the time in milliseconds
	 * @return whether it has taken requests until now
	 */
	public boolean recordRest(String serverId, long restMs, long nowMs) {
		Statement statement = this.statements.computeIfAbsent(serverId, (id) -> new Statement());
		boolean begins = nowMs >= statement.restUntilMs;
		statement.restUntilMs = Math.max(statement.restUntilMs, nowMs + Math.clamp(restMs, 0, MAX_REST_MS));
		return begins;
	}

	/**
	 * Records whether a server said in a response that it leaves. One that does so says
	 * it in all its responses.
	 * @param serverId the instance id of the server
	 * @param leaving whether it said so
	 * @param sentAtMs when the request was sent that the response answers, in
	 * milliseconds
	 * @param nowMs the time in milliseconds
	 * @return whether this is news
	 */
	public boolean recordLeaving(String serverId, boolean leaving, long sentAtMs, long nowMs) {
		Statement statement = this.statements.get(serverId);
		if (!leaving) {
			// A response to an earlier request may have overtaken the one that said so.
			boolean ends = statement != null && statement.isLeaving(nowMs) && sentAtMs > statement.lastLeavingAtMs;
			if (ends) {
				statement.leavingSinceMs = Long.MAX_VALUE;
			}
			return ends;
		}
		if (statement == null) {
			statement = new Statement();
			this.statements.put(serverId, statement);
		}
		boolean begins = !statement.isLeaving(nowMs);
		if (begins) {
			statement.leavingSinceMs = nowMs;
		}
		statement.lastLeavingAtMs = nowMs;
		return begins;
	}

	/**
	 * Forgets what a server said. Called when its process has ended, because the next one
	 * at its address is another server.
	 * @param serverId the instance id of the server
	 */
	public void forget(String serverId) {
		this.statements.remove(serverId);
	}

	/**
	 * Returns whether a server wants no requests from this daemon.
	 * @param serverId the instance id of the server
	 * @param nowMs the time in milliseconds
	 * @return whether its rest has not ended
	 */
	public boolean isResting(String serverId, long nowMs) {
		Statement statement = this.statements.get(serverId);
		return statement != null && nowMs < statement.restUntilMs;
	}

	/**
	 * Returns when the first of several servers takes requests again.
	 * @param serverIds the instance ids of the servers
	 * @param nowMs the time in milliseconds
	 * @return the time in milliseconds, not before now
	 */
	public long earliestRestEndMs(Collection<String> serverIds, long nowMs) {
		return serverIds.stream()
			.map(this.statements::get)
			.mapToLong((statement) -> (statement != null) ? Math.max(nowMs, statement.restUntilMs) : nowMs)
			.min()
			.orElse(nowMs);
	}

	/**
	 * Returns for how long a server has been about to stop.
	 * @param server the server
	 * @param nowMs the time in milliseconds
	 * @return the time in milliseconds since the list or the server first said so,
	 * negative if neither does
	 */
	public long leavingMs(ServerState server, long nowMs) {
		Statement statement = this.statements.get(server.server().id());
		long saidMs = (statement != null && statement.isLeaving(nowMs)) ? nowMs - statement.leavingSinceMs : -1;
		return Math.max(saidMs, server.leavingMs(nowMs));
	}

	/**
	 * Returns whether a request that was meant for a server may still be sent to it.
	 * @param server the server
	 * @param leavingUseMs the time in milliseconds for which a server that is about to
	 * stop may still be used
	 * @param nowMs the time in milliseconds
	 * @return whether the server neither rests nor has been leaving for too long
	 */
	public boolean maySend(ServerState server, long leavingUseMs, long nowMs) {
		return !isResting(server.server().id(), nowMs) && leavingMs(server, nowMs) < leavingUseMs;
	}

	/**
	 * Removes statements that no longer matter. Called from time to time.
	 * @param nowMs the time in milliseconds
	 */
	public void expire(long nowMs) {
		this.statements.values().removeIf((statement) -> nowMs >= statement.restUntilMs && !statement.isLeaving(nowMs));
	}

	private static final class Statement {

		private long restUntilMs = Long.MIN_VALUE;

		/** When the server first said that it leaves, or the maximum if it did not. */
		private long leavingSinceMs = Long.MAX_VALUE;

		private long lastLeavingAtMs = Long.MIN_VALUE / 2;

		private boolean isLeaving(long nowMs) {
			return this.leavingSinceMs != Long.MAX_VALUE && nowMs - this.lastLeavingAtMs < LEAVING_EXPIRY_MS;
		}

	}

}
