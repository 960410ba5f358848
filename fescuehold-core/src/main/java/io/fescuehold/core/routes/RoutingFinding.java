package io.fescuehold.core.routes;

import java.util.Objects;

import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;

/**
 * Something in a configuration of routes that the operators should correct.
 *
 * @param severity whether daemons refuse the configuration for it
 * @param place the entry and the field, such as {@code route "chat" path prefix}
 * @param seen what the field holds. Keys are never shown, because findings are shown on
 * terminals and copied into tickets.
 * @param remedy what to change
 */
public record RoutingFinding(Severity severity, String place, String seen, String remedy) {

	/**
	 * Checks the arguments.
	 */
	public RoutingFinding {
		Objects.requireNonNull(severity, "severity");
		Objects.requireNonNull(place, "place");
		Objects.requireNonNull(seen, "seen");
		Objects.requireNonNull(remedy, "remedy");
	}

	/**
	 * Returns the finding as one line, in the words of a daemon that refuses it.
	 * @return the place, what was seen and the remedy
	 */
	public String text() {
		return this.place + " is " + this.seen + "; " + this.remedy;
	}

	/**
	 * Creates the refusal of a configuration because of this finding.
	 * @return the refusal with code ROUTING_INVALID
	 */
	public FescueholdException toRefusal() {
		return new FescueholdException(ErrorCode.ROUTING_INVALID, this.place, this.seen, this.remedy);
	}

	/**
	 * Whether daemons accept the configuration.
	 */
	public enum Severity {

		/** Daemons refuse the configuration. */
		ERROR,

		/** Daemons accept the configuration, but some of it is without effect or use. */
		WARNING

	}

}
