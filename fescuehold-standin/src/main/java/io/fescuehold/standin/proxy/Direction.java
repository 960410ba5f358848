package io.fescuehold.standin.proxy;

/**
 * The direction in which bytes pass a proxy.
 */
public enum Direction {

	/** From the connecting side to the target. */
	TO_SERVER,

	/** From the target to the connecting side. */
	TO_CLIENT,

	/** In either direction. */
	BOTH;

	/**
	 * Returns whether this direction includes another one.
	 * @param other the other direction
	 * @return whether it is the same or this one is {@link #BOTH}
	 */
	public boolean includes(Direction other) {
		return this == BOTH || this == other;
	}

}
