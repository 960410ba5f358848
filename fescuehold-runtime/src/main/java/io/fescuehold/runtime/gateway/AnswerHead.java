package io.fescuehold.runtime.gateway;

import java.util.Set;

import io.fescuehold.core.servers.ServerLoadReport;

/**
 * Status line and headers of a backend server's response, as far as the gateway needs
 * them.
 *
 * @param status the HTTP status
 * @param requestId the id of the request that the response answers, or null if it carries
 * none
 * @param instanceId the id of the instance that responded, or null if it names none
 * @param signed whether the response carries the server's signature
 * @param notRun whether the server states that it did not run the request
 * @param requestLimitPerS the requests a second that the server takes from all daemons
 * together, or null if it names no limit
 * @param rejectionsPerS the requests a second that the server can reject without failing,
 * or null if it is not brittle
 * @param restMs the time in milliseconds for which the server wants no more requests from
 * this host, or null if it named none
 * @param leaving whether the server is about to stop
 * @param load what the server says of its load, or null
 */
public record AnswerHead(int status, String requestId, String instanceId, boolean signed, boolean notRun,
		Double requestLimitPerS, Double rejectionsPerS, Long restMs, boolean leaving, ServerLoadReport load) {

	private static final int FIRST_STATUS_AFTER_SUCCESS = 300;

	private static final int MISDIRECTED = 421;

	/** The HTTP statuses that promise callers that the request has not run. */
	private static final Set<Integer> REJECTIONS = Set.of(408, MISDIRECTED, 429, 503);

	/**
	 * Judges the response to a request.
	 * @param ownId the id of the request that was sent, empty if it has none
	 * @param serverId the instance id of the addressed server
	 * @param keptConnection whether other requests were sent over the connection before
	 * @return what the response proves
	 */
	AnswerVerdict judge(String ownId, String serverId, boolean keptConnection) {
		if (mayBelongToOtherRequest(ownId, keptConnection)) {
			return new AnswerVerdict.Unproven("the response belongs to request " + this.requestId);
		}
		boolean misdirected = this.status == MISDIRECTED;
		if (this.notRun || (misdirected && namesOtherInstance(serverId))) {
			return new AnswerVerdict.NotRun(misdirected);
		}
		if (!this.signed) {
			return new AnswerVerdict.Unproven("the response with status " + this.status + " carries no signature");
		}
		return REJECTIONS.contains(this.status) ? new AnswerVerdict.UnprovenRejection(this.status)
				: new AnswerVerdict.Signed();
	}

	// Servers echo the request id, so a response without one may be a duplicate of an
	// earlier response on the same connection.
	private boolean mayBelongToOtherRequest(String ownId, boolean keptConnection) {
		if (this.requestId != null) {
			return !this.requestId.equals(ownId);
		}
		return !ownId.isEmpty() && (keptConnection || (this.signed && this.status < FIRST_STATUS_AFTER_SUCCESS));
	}

	// A status alone proves nothing, but the addressed server would not name another
	// instance.
	private boolean namesOtherInstance(String serverId) {
		return this.instanceId != null && !this.instanceId.equals(serverId);
	}

}
