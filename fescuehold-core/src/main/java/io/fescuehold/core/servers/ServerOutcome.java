package io.fescuehold.core.servers;

/**
 * How a server answered one request.
 */
public enum ServerOutcome {

	/** It answered with success. */
	SERVED,

	/** It ran the request and failed, broke off or fell silent. */
	FAILED,

	/** It took the request and was not heard of again. */
	SILENT,

	/** It said that it did not run the request. */
	REJECTED,

	/** Another instance answered at its address, so it no longer runs. */
	REPLACED,

	/** No connection could be opened. */
	UNREACHABLE

}
