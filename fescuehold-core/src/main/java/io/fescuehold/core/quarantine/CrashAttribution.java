package io.fescuehold.core.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * Infers which requests, or which prompt parts, crash the servers of one service. A crash
 * ends all requests of the server, but only a request that it was about to answer can
 * have caused it. Features are suspected that several crashes have in common and that no
 * server has answered since the first of these crashes. A crash that is attributed to one
 * feature alone says little against others, because they may have been lost with it.
 * <p>
 * The smallest explanation wins: a request that came again explains its crashes better
 * than the parts of its prompt, which other requests share. A part is only to blame for
 * crashes that no single request explains.
 */
final class CrashAttribution {

	/** Two crashes are too few, because one request may be lost twice by chance. */
	static final int MIN_CRASHES = 3;

	/** The number of them that nothing else explains, if a part is to blame. */
	private static final int MIN_UNEXPLAINED_BY_PART = 2;

	/** Servers that fail together, for example with their rack, count as one crash. */
	static final long COINCIDENT_MS = 30;

	private final String service;

	private final Function<String, Long> answeredAtMs;

	private final Map<String, List<CrashRecord>> unanswered = new HashMap<>();

	private final Map<String, List<CrashRecord>> unexplained = new HashMap<>();

	private final List<Attribution> attributions = new ArrayList<>();

	private CrashAttribution(String service, Function<String, Long> answeredAtMs) {
		this.service = service;
		this.answeredAtMs = answeredAtMs;
	}

	/**
	 * Attributes the crashes of a service.
	 * @param service the service
	 * @param crashes its crashes
	 * @param answeredAtMs returns when a request with a feature was last answered, in
	 * milliseconds, or null if never
	 * @return the attributions, most probable first
	 */
	static List<Attribution> attribute(String service, Collection<CrashRecord> crashes,
			Function<String, Long> answeredAtMs) {
		CrashAttribution attribution = new CrashAttribution(service, answeredAtMs);
		crashes.stream().sorted(Comparator.comparingLong(CrashRecord::atMs)).forEach(attribution::add);
		while (attribution.attributeMostProbable()) {
			attribution.unexplained.values().removeIf(List::isEmpty);
		}
		return attribution.attributions;
	}

	private void add(CrashRecord crash) {
		Set<String> features = new HashSet<>();
		crash.requests().forEach(features::addAll);
		for (String feature : features) {
			Long answered = this.answeredAtMs.apply(feature);
			if (answered == null || answered < crash.atMs()) {
				this.unanswered.computeIfAbsent(feature, (id) -> new ArrayList<>()).add(crash);
				this.unexplained.computeIfAbsent(feature, (id) -> new ArrayList<>()).add(crash);
			}
		}
	}

	// A feature that was never answered is more probable than one that was answered
	// before.
	private boolean attributeMostProbable() {
		Comparator<String> byProbability = Comparator
			.comparing((String feature) -> this.answeredAtMs.apply(feature) == null)
			.thenComparing((feature) -> countCrashes(this.unexplained.get(feature)))
			.thenComparing(RequestIdentity::isRequest);
		List<String> candidates = this.unexplained.keySet().stream().filter(this::canBeToBlame).toList();
		String mostProbable = candidates.stream().max(byProbability).orElse(null);
		if (mostProbable == null) {
			return false;
		}
		List<CrashRecord> crashes = List.copyOf(this.unexplained.get(mostProbable));
		List<String> equallyProbable = candidates.stream()
			.filter((feature) -> byProbability.compare(feature, mostProbable) == 0
					&& this.unexplained.get(feature).equals(crashes))
			.toList();
		List<Set<String>> groups = smallestGroups(equallyProbable, crashes);
		List<CrashRecord> all = this.unanswered.get(mostProbable);
		for (Set<String> group : groups) {
			this.attributions.add(new Attribution(this.service, group, all.stream().map(CrashRecord::serverId).toList(),
					all.stream().map(CrashRecord::atMs).toList(), groups.size() > 1));
		}
		this.unexplained.values().forEach((suspected) -> suspected.removeAll(crashes));
		return true;
	}

	private boolean canBeToBlame(String feature) {
		List<CrashRecord> crashes = this.unexplained.get(feature);
		return countCrashes(this.unanswered.get(feature)) >= MIN_CRASHES && (RequestIdentity.isRequest(feature)
				|| (countCrashes(crashes) >= MIN_UNEXPLAINED_BY_PART && !isExplainedByOneRequest(crashes)));
	}

	private boolean isExplainedByOneRequest(List<CrashRecord> crashes) {
		Set<String> requests = new HashSet<>();
		crashes.getFirst().requests().forEach(requests::addAll);
		return requests.stream()
			.filter(RequestIdentity::isRequest)
			.anyMatch((request) -> this.unexplained.getOrDefault(request, List.of()).containsAll(crashes));
	}

	// Returns the groups of inseparable features that contain no other group.
	private static List<Set<String>> smallestGroups(List<String> features, List<CrashRecord> crashes) {
		Set<Set<String>> groups = new HashSet<>();
		features.forEach((feature) -> groups.add(inseparableFeatures(feature, features, crashes)));
		return groups.stream()
			.filter((group) -> groups.stream().noneMatch((other) -> !other.equals(group) && group.containsAll(other)))
			.toList();
	}

	// Returns the features that every suspected request with the given one has.
	private static Set<String> inseparableFeatures(String feature, List<String> candidates, List<CrashRecord> crashes) {
		Set<String> inseparable = new HashSet<>(candidates);
		for (CrashRecord crash : crashes) {
			for (Set<String> request : crash.requests()) {
				if (request.contains(feature)) {
					inseparable.retainAll(request);
				}
			}
		}
		return inseparable;
	}

	private static int countCrashes(List<CrashRecord> crashes) {
		int count = 0;
		long countedAtMs = Long.MIN_VALUE / 2;
		for (CrashRecord crash : crashes) {
			if (crash.atMs() - countedAtMs > COINCIDENT_MS) {
				count++;
				countedAtMs = crash.atMs();
			}
		}
		return count;
	}

}
