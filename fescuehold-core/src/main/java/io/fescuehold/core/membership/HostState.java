package io.fescuehold.core.membership;

/**
 * What a daemon says of itself.
 */
public enum HostState {

	/** It has no configuration yet. */
	STARTING,

	/** It serves callers. */
	READY,

	/** It was told to stop and finishes what it has begun. */
	DRAINING

}
