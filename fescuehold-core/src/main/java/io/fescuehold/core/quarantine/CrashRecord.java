package io.fescuehold.core.quarantine;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * A crash of a server as far as the daemons have reported it.
 */
final class CrashRecord {

	/** A bound on the memory and the messages; several hundred requests of usual size. */
	static final int MAX_FEATURE_IDS = 1_024;

	/** Beyond {@link #MAX_FEATURE_IDS}, requests are only recorded as a whole. */
	static final int MAX_WHOLE_REQUESTS = 512;

	private final String service;

	private final String serverId;

	private final long atMs;

	private final Set<Set<String>> requests = new LinkedHashSet<>();

	private int featureIdCount;

	private int wholeRequestCount;

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

	// Returns the features of each request that the server had not begun to answer.
	Set<Set<String>> requests() {
		return this.requests;
	}

	long version() {
		return this.version;
	}

	void setVersion(long newVersion) {
		this.version = newVersion;
	}

	// Returns whether any request was not known before.
	boolean addRequests(Collection<Set<String>> added) {
		boolean changed = false;
		for (Set<String> features : added) {
			changed |= !features.isEmpty() && !this.requests.contains(features) && addRequest(features);
		}
		return changed;
	}

	// A request with many prompt parts must not keep others from being recorded.
	private boolean addRequest(Set<String> features) {
		if (this.featureIdCount + features.size() <= MAX_FEATURE_IDS) {
			this.featureIdCount += features.size();
			return this.requests.add(Set.copyOf(features));
		}
		Set<String> whole = features.stream().filter(RequestIdentity::isRequest).collect(Collectors.toSet());
		if (whole.size() != 1 || this.wholeRequestCount >= MAX_WHOLE_REQUESTS || !this.requests.add(whole)) {
			return false;
		}
		this.wholeRequestCount++;
		return true;
	}

}
