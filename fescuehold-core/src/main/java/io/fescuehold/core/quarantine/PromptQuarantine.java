package io.fescuehold.core.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.fescuehold.core.placement.RendezvousHash;
import io.fescuehold.core.prompt.PromptPart;
import io.fescuehold.core.prompt.PromptShape;

/**
 * Quarantine of prompt parts that crash servers. Each daemon collects evidence, which is
 * exchanged among all daemons, and draws the same conclusions from it: a part is in
 * quarantine as long as the evidence attributes crashes to it. When the time of the
 * quarantine has passed, single daemons let one request through, and its outcome is
 * evidence again. Not thread-safe: confined to one thread.
 */
public final class PromptQuarantine {

	/**
	 * Reports about one server within this time are about the same crash. Longer than a
	 * report takes to a host that stalls, shorter than most restarts.
	 */
	static final long SAME_CRASH_MS = 2_000;

	static final int MAX_CRASHES = 48;

	/** Longer than the longest time between two trials. */
	static final long RETENTION_MS = 2 * Attribution.MAX_HOLD_MS;

	private static final int MAX_ANSWERED_PARTS = 4_096;

	/** Longer than reports of a trial's outcome take to reach all daemons. */
	private static final long TRIAL_STAGGER_MS = 2_000;

	/** The number of daemons that take turns; the others follow at the same time. */
	private static final int MAX_TURNS = 32;

	private static final long TRIAL_INTERVAL_MS = 5_000;

	private final String hostId;

	private final List<CrashRecord> crashes = new ArrayList<>();

	/** The newest crash with each suspected part. */
	private final Map<PartKey, Long> suspectedAtMs = new HashMap<>();

	private final Map<PartKey, AnsweredPart> answeredParts = new LinkedHashMap<>(16, 0.75f, true) {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<PartKey, AnsweredPart> eldest) {
			return size() > MAX_ANSWERED_PARTS;
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
	public PromptQuarantine(String hostId) {
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
	 * Records that a server has answered a prompt without crashing.
	 * @param service the service
	 * @param prompt the prompt
	 * @param nowMs the time in milliseconds
	 */
	public void recordAnswer(String service, PromptShape prompt, long nowMs) {
		boolean changed = false;
		for (PromptPart part : prompt.sharedParts()) {
			changed |= addAnswer(new PartKey(service, part.id()), nowMs);
		}
		if (changed) {
			update();
		}
	}

	/**
	 * Records a crash.
	 * @param service the service of the server
	 * @param serverId the instance id of the server
	 * @param prompts for each request that the server had not begun to answer, the ids of
	 * its shared prompt parts
	 * @param atMs the time of the crash in milliseconds
	 * @param nowMs the time in milliseconds
	 */
	public void recordCrash(String service, String serverId, Collection<Set<String>> prompts, long atMs, long nowMs) {
		if (addCrash(service, serverId, prompts, atMs)) {
			update();
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
			changed |= addAnswer(new PartKey(answer.service(), answer.partId()), nowMs - answer.ageMs());
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
		for (PartKey key : this.suspectedAtMs.keySet()) {
			AnsweredPart answered = this.answeredParts.get(key);
			if (answered != null && answered.version > sinceVersion) {
				answers.add(new CrashEvidence.Answer(key.service, key.partId, Math.max(0, nowMs - answered.atMs)));
			}
		}
		return new CrashEvidence(this.crashes.stream()
			.filter((crash) -> crash.version() > sinceVersion)
			.map((crash) -> new CrashEvidence.Crash(crash.service(), crash.serverId(),
					Math.max(0, nowMs - crash.atMs()), List.copyOf(crash.prompts())))
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
	 * Finds the attribution that keeps a prompt in quarantine.
	 * @param service the service
	 * @param prompt the prompt
	 * @return the attribution, or null if the prompt is not known to crash servers
	 */
	public Attribution find(String service, PromptShape prompt) {
		if (this.attributions.isEmpty()) {
			return null;
		}
		Set<String> parts = partIds(prompt);
		return this.attributions.stream()
			.filter((attribution) -> attribution.service().equals(service) && parts.containsAll(attribution.parts()))
			.findFirst()
			.orElse(null);
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
		long partsHash = attribution.parts().stream().mapToLong(RendezvousHash::hash).sum();
		long ownScore = RendezvousHash.combine(partsHash, RendezvousHash.hash(this.hostId));
		long rank = hostIds.stream()
			.filter((host) -> RendezvousHash.combine(partsHash, RendezvousHash.hash(host)) < ownScore)
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

	/**
	 * Returns the ids of the parts of a prompt that other requests may share.
	 * @param prompt the prompt
	 * @return the ids
	 */
	public static Set<String> partIds(PromptShape prompt) {
		Set<String> ids = new HashSet<>();
		prompt.sharedParts().forEach((part) -> ids.add(part.id()));
		return ids;
	}

	private boolean addCrash(String service, String serverId, Collection<Set<String>> prompts, long atMs) {
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
		if (!record.addPrompts(prompts)) {
			return false;
		}
		record.setVersion(++this.version);
		for (Set<String> prompt : record.prompts()) {
			for (String part : prompt) {
				PartKey key = new PartKey(service, part);
				this.suspectedAtMs.merge(key, record.atMs(), Math::max);
				AnsweredPart answered = this.answeredParts.get(key);
				if (answered != null) {
					answered.version = ++this.version;
				}
			}
		}
		return true;
	}

	// Crashes that keep a part in quarantine are kept, for example when a rack fails.
	private void evictCrash() {
		CrashRecord removed = this.crashes.stream()
			.filter((crash) -> this.attributions.stream()
				.noneMatch((attribution) -> attribution.service().equals(crash.service())
						&& attribution.crashedAtMs().contains(crash.atMs())))
			.findFirst()
			.orElse(this.crashes.getFirst());
		this.crashes.remove(removed);
		rebuildSuspects();
	}

	private void rebuildSuspects() {
		this.suspectedAtMs.clear();
		for (CrashRecord crash : this.crashes) {
			crash.prompts()
				.forEach((prompt) -> prompt.forEach((part) -> this.suspectedAtMs
					.merge(new PartKey(crash.service(), part), crash.atMs(), Math::max)));
		}
	}

	// An answer is only new to others if it is the first one since the newest crash with
	// the part.
	private boolean addAnswer(PartKey key, long atMs) {
		AnsweredPart answered = this.answeredParts.get(key);
		Long suspected = this.suspectedAtMs.get(key);
		boolean isNew = suspected != null && (answered == null || answered.atMs <= suspected);
		if (answered == null) {
			answered = new AnsweredPart();
			this.answeredParts.put(key, answered);
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
					this.crashes.stream().filter((crash) -> crash.service().equals(service)).toList(), (part) -> {
						AnsweredPart answered = this.answeredParts.get(new PartKey(service, part));
						return (answered != null) ? answered.atMs : null;
					})));
		if (!updated.equals(this.attributions)) {
			this.attributions = List.copyOf(updated);
			this.trialAtMs.keySet().retainAll(updated.stream().map(TrialKey::of).toList());
			this.changeListener.run();
		}
	}

	private record TrialKey(String service, Set<String> parts) {

		private static TrialKey of(Attribution attribution) {
			return new TrialKey(attribution.service(), attribution.parts());
		}

	}

	private record PartKey(String service, String partId) {

	}

	private static final class AnsweredPart {

		private long atMs;

		private long version;

	}

}
