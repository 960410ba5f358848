package io.fescuehold.runtime.http;

/**
 * What a request head exceeds.
 */
enum HeadExcess {

	/** Nothing. */
	NONE,

	/** The maximum size of a head. */
	TOO_LARGE,

	/** The memory that the host may use for requests. */
	MEMORY_FULL

}
