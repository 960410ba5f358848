package io.fescuehold.runtime.gateway;

import io.fescuehold.core.servers.ServerLoadReport;

/**
 * Status line and headers of a backend server's response, as far as the gateway needs
 * them.
 *
 * @param requestId the id of the request that the response answers, or null if it carries
 * none
 * @param signed whether the response carries the server's signature
 * @param notRun whether the server states that it did not run the request
 * @param otherInstance whether an instance other than the addressed one responded
 * @param requestLimitPerS the requests a second that the server takes from all daemons
 * together, or null if it names no limit
 * @param rejectionsPerS the requests a second that the server can reject without failing,
 * or null if it is not brittle
 * @param restMs the time in milliseconds for which the server wants no more requests from
 * this host, or null if it named none
 * @param leaving whether the server is about to stop
 * @param load what the server says of its load, or null
 */
public record AnswerHead(String requestId, boolean signed, boolean notRun, boolean otherInstance,
		Double requestLimitPerS, Double rejectionsPerS, Long restMs, boolean leaving, ServerLoadReport load) {

	private static final int FIRST_STATUS_AFTER_SUCCESS = 300;

	/**
	 * Returns whether the response may belong to another request. Servers echo the
	 * request id, so a response without one may be a duplicate of an earlier response on
	 * the same connection.
	 * @param ownId the id of the request that was sent, empty if it has none
	 * @param status the HTTP status of the response
	 * @param keptConnection whether other requests were sent over the connection before
	 * @return whether the response must not be delivered for the request
	 */
	boolean mayBelongToOtherRequest(String ownId, int status, boolean keptConnection) {
		if (this.requestId != null) {
			return !this.requestId.equals(ownId);
		}
		return !ownId.isEmpty() && (keptConnection || (this.signed && status < FIRST_STATUS_AFTER_SUCCESS));
	}

}
