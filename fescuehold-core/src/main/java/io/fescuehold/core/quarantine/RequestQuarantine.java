package io.fescuehold.core.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.fescuehold.core.placement.RendezvousHash;

/**
 * Quarantine of requests and prompt parts that crash servers. Each daemon collects
 * evidence, which is exchanged among all daemons, and draws the same conclusions from it:
 * a feature of requests is in quarantine as long as the evidence attributes crashes to
 * it. When the time of the quarantine has passed, single daemons let one request through,
 * and its outcome is evidence again. Not thread-safe: confined to one thread.
 */
public final class RequestQuarantine {

	/**
	 * Reports about one server within this time are about the same crash. Longer than a
	 * report takes to a host that stalls, shorter than most restarts.
	 */
	static final long SAME_CRASH_MS = 2_000;

	static final int MAX_CRASHES = 48;

	/** Longer than the longest time between two trials. */
	static final long RETENTION_MS = 2 * Attribution.MAX_HOLD_MS;

	private static final int MAX_ANSWERED_FEATURES = 4_096;

	/** Longer than reports of a trial's outcome take to reach all daemons. */
	private static final long TRIAL_STAGGER_MS = 2_000;

	/** The number of daemons that take turns; the others follow at the same time. */
	private static final int MAX_TURNS = 32;

	private static final long TRIAL_INTERVAL_MS = 5_000;

	private final String hostId;

	private final List<CrashRecord> crashes = new ArrayList<>();

	/** The newest crash with each suspected feature. */
	private final Map<FeatureKey, Long> suspectedAtMs = new HashMap<>();

	/** The keys of the suspected requests. */
	private final Set<String> suspectedRequestKeys = new HashSet<>();

	private final Map<FeatureKey, AnsweredFeature> answeredFeatures = new LinkedHashMap<>(16, 0.75f, true) {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<FeatureKey, AnsweredFeature> eldest) {
			return size() > MAX_ANSWERED_FEATURES;
		}

	};

	private final Map<TrialKey, Long> trialAtMs = new HashMap<>();

	private List<Attribution> attributions = List.of();

	private long version;

	private Runnable changeListener = () -> {
	};

	/**
	 * Creates a quarantine without evidence.
	 * @param hostId the id of this daemon
	 */
	public RequestQuarantine(String hostId) {
		this.hostId = hostId;
	}

	/**
	 * Sets the listener that is called when the attributions have changed.
	 * @param listener the listener
	 */
	public void setChangeListener(Runnable listener) {
		this.changeListener = listener;
	}

	/**
	 * Records that a server has answered a request without crashing.
	 * @param service the service
	 * @param request the features of the request
	 * @param nowMs the time in milliseconds
	 */
	public void recordAnswer(String service, RequestFeatures request, long nowMs) {
		boolean changed = false;
		for (String part : request.partIds()) {
			changed |= addAnswer(new FeatureKey(service, part), nowMs);
		}
		String requestId = suspectedId(request);
		if (requestId != null) {
			changed |= addAnswer(new FeatureKey(service, requestId), nowMs);
		}
		if (changed) {
			update();
		}
	}

	/**
	 * Records a crash.
	 * @param service the service of the server
	 * @param serverId the instance id of the server
	 * @param requests for each request that the server had not begun to answer, the ids
	 * of its features
	 * @param atMs the time of the crash in milliseconds
	 */
	public void recordCrash(String service, String serverId, Collection<Set<String>> requests, long atMs) {
		if (addCrash(service, serverId, requests, atMs)) {
			update();
		}
	}

	/**
	 * Records a crash that was attributed to features before this process started.
	 * @param service the service of the server
	 * @param serverId the instance id of the server
	 * @param features the ids of the features
	 * @param ageMs the time in milliseconds since the crash
	 * @param nowMs the time in milliseconds
	 */
	public void restoreCrash(String service, String serverId, Set<String> features, long ageMs, long nowMs) {
		if (ageMs < RETENTION_MS) {
			recordCrash(service, serverId, List.of(features), nowMs - ageMs);
		}
	}

	/**
	 * Adds the evidence of another daemon.
	 * @param evidence the evidence
	 * @param nowMs the time in milliseconds
	 */
	public void merge(CrashEvidence evidence, long nowMs) {
		boolean changed = false;
		for (CrashEvidence.Crash crash : evidence.crashes()) {
			if (crash.ageMs() < RETENTION_MS) {
				changed |= addCrash(crash.service(), crash.serverId(), crash.prompts(), nowMs - crash.ageMs());
			}
		}
		for (CrashEvidence.Answer answer : evidence.answers()) {
			changed |= addAnswer(new FeatureKey(answer.service(), answer.partId()), nowMs - answer.ageMs());
		}
		if (changed) {
			update();
		}
	}

	/**
	 * Returns the evidence that was added since a version.
	 * @param sinceVersion a version that {@link #version()} returned, or 0 for all
	 * evidence
	 * @param nowMs the time in milliseconds
	 * @return the evidence
	 */
	public CrashEvidence evidenceSince(long sinceVersion, long nowMs) {
		if (sinceVersion >= this.version) {
			return CrashEvidence.NONE;
		}
		List<CrashEvidence.Answer> answers = new ArrayList<>();
		for (FeatureKey key : this.suspectedAtMs.keySet()) {
			AnsweredFeature answered = this.answeredFeatures.get(key);
			if (answered != null && answered.version > sinceVersion) {
				answers.add(new CrashEvidence.Answer(key.service, key.featureId, Math.max(0, nowMs - answered.atMs)));
			}
		}
		return new CrashEvidence(this.crashes.stream()
			.filter((crash) -> crash.version() > sinceVersion)
			.map((crash) -> new CrashEvidence.Crash(crash.service(), crash.serverId(),
					Math.max(0, nowMs - crash.atMs()), List.copyOf(crash.requests())))
			.toList(), answers);
	}

	/**
	 * Returns the version of the evidence.
	 * @return a number that grows with each addition that other daemons need
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns the attributions that are in force.
	 * @return the attributions
	 */
	public List<Attribution> attributions() {
		return this.attributions;
	}

	/**
	 * Finds the attribution that keeps a request in quarantine. A request as a whole is
	 * also kept from other services than the one whose servers it crashed, unless they
	 * have answered it since.
	 * @param service the service
	 * @param request the features of the request
	 * @return the attribution, or null if the request is not known to crash servers
	 */
	public Attribution find(String service, RequestFeatures request) {
		if (this.attributions.isEmpty()) {
			return null;
		}
		Set<String> features = request.partIds();
		String requestId = suspectedId(request);
		if (requestId != null) {
			features.add(requestId);
		}
		return this.attributions.stream()
			.filter((attribution) -> features.containsAll(attribution.features())
					&& (attribution.service().equals(service)
							|| (attribution.isRequest() && !isAnsweredSince(service, attribution))))
			.findFirst()
			.orElse(null);
	}

	private boolean isAnsweredSince(String service, Attribution attribution) {
		return attribution.features()
			.stream()
			.map((feature) -> this.answeredFeatures.get(new FeatureKey(service, feature)))
			.anyMatch((answered) -> answered != null && answered.atMs > attribution.crashedAtMs().getLast());
	}

	/**
	 * Returns whether a server has crashed that was about to answer a request, and none
	 * has answered it since.
	 * @param service the service
	 * @param request the features of the request
	 * @return whether the request as a whole is suspected
	 */
	public boolean isSuspected(String service, RequestFeatures request) {
		String requestId = suspectedId(request);
		if (requestId == null) {
			return false;
		}
		FeatureKey key = new FeatureKey(service, requestId);
		AnsweredFeature answered = this.answeredFeatures.get(key);
		Long suspected = this.suspectedAtMs.get(key);
		return suspected != null && (answered == null || answered.atMs <= suspected);
	}

	// The digest of a request is only computed if a suspected one has the same key.
	private String suspectedId(RequestFeatures request) {
		RequestIdentity identity = request.identity();
		return (identity != null && !this.suspectedRequestKeys.isEmpty()
				&& this.suspectedRequestKeys.contains(identity.key())) ? identity.id() : null;
	}

	/**
	 * Decides whether a request that is in quarantine may be sent as a trial. Daemons
	 * take turns, so that the outcome of one trial is known before the next one begins.
	 * @param attribution the attribution
	 * @param hostIds the daemons that serve callers
	 * @param nowMs the time in milliseconds
	 * @return whether the request may be sent
	 */
	public boolean tryAcquireTrial(Attribution attribution, Collection<String> hostIds, long nowMs) {
		if (nowMs < attribution.heldUntilMs()) {
			return false;
		}
		long featuresHash = attribution.features().stream().mapToLong(RendezvousHash::hash).sum();
		long ownScore = RendezvousHash.combine(featuresHash, RendezvousHash.hash(this.hostId));
		long rank = hostIds.stream()
			.filter((host) -> RendezvousHash.combine(featuresHash, RendezvousHash.hash(host)) < ownScore)
			.count();
		TrialKey key = TrialKey.of(attribution);
		Long lastTrialAtMs = this.trialAtMs.get(key);
		if (nowMs < attribution.heldUntilMs() + Math.min(rank, MAX_TURNS) * TRIAL_STAGGER_MS
				|| (lastTrialAtMs != null && nowMs - lastTrialAtMs < TRIAL_INTERVAL_MS)) {
			return false;
		}
		this.trialAtMs.put(key, nowMs);
		return true;
	}

	private boolean addCrash(String service, String serverId, Collection<Set<String>> requests, long atMs) {
		CrashRecord record = this.crashes.stream()
			.filter((crash) -> crash.serverId().equals(serverId) && crash.service().equals(service)
					&& Math.abs(crash.atMs() - atMs) < SAME_CRASH_MS)
			.findFirst()
			.orElse(null);
		if (record == null) {
			record = new CrashRecord(service, serverId, atMs);
			this.crashes.add(record);
			if (this.crashes.size() > MAX_CRASHES) {
				evictCrash();
			}
		}
		if (!record.addRequests(requests)) {
			return false;
		}
		record.setVersion(++this.version);
		for (Set<String> features : record.requests()) {
			for (String feature : features) {
				suspect(service, feature, record.atMs());
				AnsweredFeature answered = this.answeredFeatures.get(new FeatureKey(service, feature));
				if (answered != null) {
					answered.version = ++this.version;
				}
			}
		}
		return true;
	}

	private void suspect(String service, String feature, long crashedAtMs) {
		this.suspectedAtMs.merge(new FeatureKey(service, feature), crashedAtMs, Math::max);
		if (RequestIdentity.isRequest(feature)) {
			this.suspectedRequestKeys.add(RequestIdentity.keyOf(feature));
		}
	}

	// Crashes that keep a feature in quarantine are kept, for example when a rack fails,
	// and then those with a request that came again. When all are kept, the caller to
	// whom most of them are due loses its oldest one, so that no caller can end the
	// quarantine of another one's requests.
	private void evictCrash() {
		Map<String, List<CrashRecord>> byCause = new HashMap<>();
		List<CrashRecord> unattributed = new ArrayList<>();
		for (CrashRecord crash : this.crashes) {
			Attribution attribution = attributionOf(crash);
			if (attribution == null) {
				unattributed.add(crash);
			}
			else {
				byCause.computeIfAbsent(cause(attribution), (cause) -> new ArrayList<>()).add(crash);
			}
		}
		CrashRecord removed = unattributed.isEmpty()
				? Collections.max(byCause.values(), Comparator.comparingInt(List::size)).getFirst()
				: unattributed.stream()
					.filter((crash) -> !hasRepeatedRequest(crash))
					.findFirst()
					.orElse(unattributed.getFirst());
		this.crashes.remove(removed);
		rebuildSuspects();
	}

	private boolean hasRepeatedRequest(CrashRecord crash) {
		Set<String> features = new HashSet<>();
		crash.requests().forEach(features::addAll);
		return this.crashes.stream()
			.filter((other) -> other != crash)
			.flatMap((other) -> other.requests().stream())
			.flatMap(Set::stream)
			.anyMatch((feature) -> RequestIdentity.isRequest(feature) && features.contains(feature));
	}

	private Attribution attributionOf(CrashRecord crash) {
		return this.attributions.stream()
			.filter((attribution) -> attribution.service().equals(crash.service())
					&& attribution.crashedAtMs().contains(crash.atMs()))
			.findFirst()
			.orElse(null);
	}

	private static String cause(Attribution attribution) {
		String feature = Collections.min(attribution.features());
		return RequestIdentity.isRequest(feature) ? RequestIdentity.callerOf(feature) : feature;
	}

	private void rebuildSuspects() {
		this.suspectedAtMs.clear();
		this.suspectedRequestKeys.clear();
		for (CrashRecord crash : this.crashes) {
			crash.requests()
				.forEach((features) -> features.forEach((feature) -> suspect(crash.service(), feature, crash.atMs())));
		}
	}

	// An answer is only new to others if it is the first one since the newest crash with
	// the feature.
	private boolean addAnswer(FeatureKey key, long atMs) {
		AnsweredFeature answered = this.answeredFeatures.get(key);
		Long suspected = this.suspectedAtMs.get(key);
		boolean isNew = suspected != null && (answered == null || answered.atMs <= suspected);
		if (answered == null) {
			answered = new AnsweredFeature();
			this.answeredFeatures.put(key, answered);
		}
		else if (answered.atMs >= atMs) {
			return false;
		}
		answered.atMs = atMs;
		if (isNew) {
			answered.version = ++this.version;
		}
		return isNew;
	}

	/**
	 * Removes evidence that is too old. Called from time to time, so that a quarantine
	 * ends although no new evidence arrives.
	 * @param nowMs the time in milliseconds
	 */
	public void expire(long nowMs) {
		if (this.crashes.removeIf((crash) -> nowMs - crash.atMs() >= RETENTION_MS)) {
			rebuildSuspects();
			update();
		}
	}

	private void update() {
		List<Attribution> updated = new ArrayList<>();
		this.crashes.stream()
			.map(CrashRecord::service)
			.distinct()
			.forEach((service) -> updated.addAll(CrashAttribution.attribute(service,
					this.crashes.stream().filter((crash) -> crash.service().equals(service)).toList(), (feature) -> {
						AnsweredFeature answered = this.answeredFeatures.get(new FeatureKey(service, feature));
						return (answered != null) ? answered.atMs : null;
					})));
		if (!updated.equals(this.attributions)) {
			this.attributions = List.copyOf(updated);
			this.trialAtMs.keySet().retainAll(updated.stream().map(TrialKey::of).toList());
			this.changeListener.run();
		}
	}

	private record TrialKey(String service, Set<String> features) {

		private static TrialKey of(Attribution attribution) {
			return new TrialKey(attribution.service(), attribution.features());
		}

	}

	private record FeatureKey(String service, String featureId) {

	}

	private static final class AnsweredFeature {

		private long atMs;

		private long version;

	}

}
