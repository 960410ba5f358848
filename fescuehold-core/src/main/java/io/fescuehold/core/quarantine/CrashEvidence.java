package io.fescuehold.core.quarantine;

import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * Evidence on crashes that daemons exchange. Times are sent as ages, because the clocks
 * of daemons differ.
 *
 * @param crashes the crashes
 * @param answers the newest sound responses to requests with suspected features
 */
public record CrashEvidence(List<Crash> crashes, List<Answer> answers) {

	/** No evidence. */
	public static final CrashEvidence NONE = new CrashEvidence(List.of(), List.of());

	/**
	 * Copies the lists.
	 */
	public CrashEvidence {
		crashes = List.copyOf(Objects.requireNonNullElse(crashes, List.of()));
		answers = List.copyOf(Objects.requireNonNullElse(answers, List.of()));
	}

	/**
	 * Returns whether there is no evidence.
	 * @return whether both lists are empty
	 */
	public boolean isEmpty() {
		return this.crashes.isEmpty() && this.answers.isEmpty();
	}

	/**
	 * A crash of a server.
	 *
	 * @param service the service of the server
	 * @param serverId the instance id of the server
	 * @param ageMs the time in milliseconds since the crash
	 * @param prompts for each request that the server had not begun to answer, the ids of
	 * its features; daemons that only know prompt parts pass the ids of requests on
	 */
	public record Crash(String service, String serverId, long ageMs, List<Set<String>> prompts) {

		/**
		 * Checks the arguments and copies the list.
		 */
		public Crash {
			Objects.requireNonNull(service, "service");
			Objects.requireNonNull(serverId, "serverId");
			prompts = List.copyOf(prompts);
		}

	}

	/**
	 * The newest sound response of a service to a request with a feature.
	 *
	 * @param service the service
	 * @param partId the id of the feature
	 * @param ageMs the time in milliseconds since the response
	 */
	public record Answer(String service, String partId, long ageMs) {

		/**
		 * Checks the arguments.
		 */
		public Answer {
			Objects.requireNonNull(service, "service");
			Objects.requireNonNull(partId, "partId");
		}

	}

}
