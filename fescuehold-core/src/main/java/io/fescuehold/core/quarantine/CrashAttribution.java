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
 * Infers which prompt parts crash the servers of one service. A crash ends all requests
 * of the server, but only a request that it was about to answer can have caused it. Parts
 * are suspected that several crashes have in common and that no server has answered since
 * the first of these crashes. A crash that is attributed to one part does not count
 * against other parts.
 */
final class CrashAttribution {

	/** Two crashes are too few, because one request may be lost twice by chance. */
	static final int MIN_CRASHES = 3;

	/** Servers that fail together, for example with their rack, count as one crash. */
	static final long COINCIDENT_MS = 30;

	private final String service;

	private final Function<String, Long> answeredAtMs;

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
	 * @param answeredAtMs returns when a prompt with a part was last answered, in
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
		Set<String> parts = new HashSet<>();
		crash.prompts().forEach(parts::addAll);
		for (String part : parts) {
			Long answered = this.answeredAtMs.apply(part);
			if (answered == null || answered < crash.atMs()) {
				this.unexplained.computeIfAbsent(part, (id) -> new ArrayList<>()).add(crash);
			}
		}
	}

	// A part that was never answered is more probable than one that was answered before.
	private boolean attributeMostProbable() {
		Comparator<String> byProbability = Comparator.comparing((String part) -> this.answeredAtMs.apply(part) == null)
			.thenComparing((part) -> countCrashes(this.unexplained.get(part)));
		String mostProbable = this.unexplained.keySet()
			.stream()
			.filter((part) -> countCrashes(this.unexplained.get(part)) >= MIN_CRASHES)
			.max(byProbability)
			.orElse(null);
		if (mostProbable == null) {
			return false;
		}
		List<CrashRecord> crashes = List.copyOf(this.unexplained.get(mostProbable));
		List<String> equallyProbable = this.unexplained.keySet()
			.stream()
			.filter((part) -> byProbability.compare(part, mostProbable) == 0
					&& this.unexplained.get(part).equals(crashes))
			.toList();
		for (Set<String> group : smallestGroups(equallyProbable, crashes)) {
			this.attributions
				.add(new Attribution(this.service, group, crashes.stream().map(CrashRecord::serverId).toList(),
						crashes.stream().map(CrashRecord::atMs).toList()));
		}
		this.unexplained.values().forEach((suspected) -> suspected.removeAll(crashes));
		return true;
	}

	// Returns the groups of inseparable parts that contain no other group.
	private static List<Set<String>> smallestGroups(List<String> parts, List<CrashRecord> crashes) {
		Set<Set<String>> groups = new HashSet<>();
		parts.forEach((part) -> groups.add(inseparableParts(part, parts, crashes)));
		return groups.stream()
			.filter((group) -> groups.stream().noneMatch((other) -> !other.equals(group) && group.containsAll(other)))
			.toList();
	}

	// Returns the parts that every suspected prompt with the given part contains.
	private static Set<String> inseparableParts(String part, List<String> candidates, List<CrashRecord> crashes) {
		Set<String> inseparable = new HashSet<>(candidates);
		for (CrashRecord crash : crashes) {
			for (Set<String> prompt : crash.prompts()) {
				if (prompt.contains(part)) {
					inseparable.retainAll(prompt);
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
