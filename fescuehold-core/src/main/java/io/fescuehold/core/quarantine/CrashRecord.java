package io.fescuehold.core.quarantine;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * A crash of a server as far as the daemons have reported it.
 */
final class CrashRecord {

	/** A bound on the memory and the messages; several hundred requests of usual size. */
	static final int MAX_PART_IDS = 1_024;

	private final String service;

	private final String serverId;

	private final long atMs;

	private final Set<Set<String>> prompts = new LinkedHashSet<>();

	private int partIdCount;

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
			if (!prompt.isEmpty() && this.partIdCount + prompt.size() <= MAX_PART_IDS
					&& this.prompts.add(Set.copyOf(prompt))) {
				this.partIdCount += prompt.size();
				changed = true;
			}
		}
		return changed;
	}

}
