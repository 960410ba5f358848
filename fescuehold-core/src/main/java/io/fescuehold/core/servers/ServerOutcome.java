package io.fescuehold.core.servers;

/**
 * The outcome of one request to a server.
 */
public enum ServerOutcome {

	/** The server responded successfully. */
	SERVED,

	/** The server ran the request and failed, aborted the response or stalled. */
	FAILED,

	/** The server accepted the request and did not respond. */
	SILENT,

	/** The server reported that it did not run the request. */
	REJECTED,

	/** Another instance responded at the address, so the server no longer runs. */
	REPLACED,

	/** No connection could be opened. */
	UNREACHABLE

}
