package io.fescuehold.core.evacuation;

import java.util.HashMap;
import java.util.Map;

/**
 * The evacuations that a host obeys, and when those that it saw ended. Not thread-safe:
 * confined to one thread.
 */
public final class EvacuationView {

	/** The end of an evacuation that this host has not seen. */
	public static final long NEVER = Long.MIN_VALUE;

	private final Map<String, Long> endedAtMs = new HashMap<>();

	private Evacuations current = Evacuations.NONE;

	/**
	 * Puts a state in force.
	 * @param evacuations the state
	 * @param nowMs the time in milliseconds
	 */
	public void update(Evacuations evacuations, long nowMs) {
		for (String domain : this.current.domains()) {
			if (!evacuations.domains().contains(domain)) {
				this.endedAtMs.put(domain, nowMs);
			}
		}
		this.endedAtMs.keySet().removeAll(evacuations.domains());
		this.current = evacuations;
	}

	/**
	 * Returns the state in force.
	 * @return the evacuations
	 */
	public Evacuations current() {
		return this.current;
	}

	/**
	 * Returns whether nothing may be sent to the servers of a failure domain.
	 * @param domain the failure domain
	 * @return whether it is under evacuation
	 */
	public boolean isEvacuated(String domain) {
		return this.current.domains().contains(domain);
	}

	/**
	 * Returns when the last evacuation of a failure domain ended. Its servers may have
	 * become cold before. A host that started later does not know.
	 * @param domain the failure domain
	 * @return the time in milliseconds at which this host learnt of the end, or
	 * {@link #NEVER} if it saw none or the domain is under evacuation
	 */
	public long endedAtMs(String domain) {
		return this.endedAtMs.getOrDefault(domain, NEVER);
	}

}
