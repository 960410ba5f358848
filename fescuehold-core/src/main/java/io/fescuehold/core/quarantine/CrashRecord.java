package io.fescuehold.core.quarantine;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * A crash of a server as far as the daemons have reported it.
 */
final class CrashRecord {

	/** The number of requests that a large server runs at a time. */
	static final int MAX_PROMPTS = 96;

	/** Longer prompts are cut, because each part is sent to all daemons. */
	static final int MAX_PARTS = 16;

	private final String service;

	private final String serverId;

	private final long atMs;

	private final Set<Set<String>> prompts = new LinkedHashSet<>();

	private long version;

	CrashRecord(String service, String serverId, long atMs) {
		this.service = service;
		this.serverId = serverId;
		this.atMs = atMs;
	}

	String service() {
		return this.service;
	}

	String serverId() {
		return this.serverId;
	}

	long atMs() {
		return this.atMs;
	}

	Set<Set<String>> prompts() {
		return this.prompts;
	}

	long version() {
		return this.version;
	}

	void setVersion(long newVersion) {
		this.version = newVersion;
	}

	// Returns whether any prompt was not known before.
	boolean addPrompts(Collection<Set<String>> added) {
		boolean changed = false;
		for (Set<String> prompt : added) {
			if (!prompt.isEmpty() && prompt.size() <= MAX_PARTS && this.prompts.size() < MAX_PROMPTS) {
				changed |= this.prompts.add(Set.copyOf(prompt));
			}
		}
		return changed;
	}

}
