package io.fescuehold.standin.proxy;

/**
 * Direction of bytes through a proxy.
 */
public enum Direction {

	/** From the client to the target server. */
	TO_SERVER,

	/** From the target server to the client. */
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
