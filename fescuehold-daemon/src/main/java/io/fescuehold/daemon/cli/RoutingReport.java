package io.fescuehold.daemon.cli;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.routes.RoutingAdvice;
import io.fescuehold.core.routes.RoutingChange;
import io.fescuehold.core.routes.RoutingConfig;
import io.fescuehold.core.routes.RoutingDiff;
import io.fescuehold.core.routes.RoutingFinding;
import io.fescuehold.core.routes.RoutingRules;
import io.fescuehold.core.routes.RoutingState;
import io.fescuehold.core.routes.SubmissionOutcome;
import io.fescuehold.runtime.gateway.Documents;
import io.fescuehold.runtime.gateway.RoutingCodec;

/**
 * The result of the check of a configuration.
 *
 * @param config the configuration, or null if it cannot be decoded
 * @param undecodable why it cannot be decoded, or null
 * @param findings the errors and warnings, empty if it cannot be decoded
 */
record RoutingReport(RoutingConfig config, String undecodable, List<RoutingFinding> findings) {

	/**
	 * Checks a configuration the way a daemon does.
	 * @param submitted the bytes that would be submitted
	 * @param codec decodes them
	 * @return the result
	 */
	static RoutingReport of(byte[] submitted, RoutingCodec codec) {
		RoutingConfig config;
		try {
			config = codec.decode(submitted);
		}
		catch (FescueholdException ex) {
			if (ex.code() != ErrorCode.ROUTING_INVALID) {
				throw ex;
			}
			return new RoutingReport(null, ex.getMessage(), List.of());
		}
		return new RoutingReport(config, null, RoutingAdvice.of(config));
	}

	/**
	 * Returns whether daemons refuse the configuration.
	 * @return whether there are errors
	 */
	boolean hasErrors() {
		return this.undecodable != null || has(RoutingFinding.Severity.ERROR);
	}

	/**
	 * Returns whether the configuration has flaws that daemons accept.
	 * @return whether there are warnings
	 */
	boolean hasWarnings() {
		return has(RoutingFinding.Severity.WARNING);
	}

	private boolean has(RoutingFinding.Severity severity) {
		return this.findings.stream().anyMatch((finding) -> finding.severity() == severity);
	}

	/**
	 * Summarises the configuration.
	 * @return whether it is accepted, and what it holds if it can be decoded
	 */
	Map<String, Object> summary() {
		Map<String, Object> summary = new LinkedHashMap<>();
		summary.put("ok", !hasErrors());
		if (this.config != null) {
			summary.put("number", this.config.number());
			summary.put("routes", this.config.routes().size());
			summary.put("services", this.config.services().size());
			summary.put("teams", this.config.teams().size());
		}
		return summary;
	}

	/**
	 * Lists the findings as they are written as JSON.
	 * @param violation why it may not replace the configuration in force, or null
	 * @return one object for each finding, errors first
	 */
	List<Map<String, Object>> findingsAsJson(RoutingFinding violation) {
		if (this.undecodable != null) {
			return List.of(Map.of("severity", RoutingFinding.Severity.ERROR, "text", this.undecodable));
		}
		return Stream.concat(Stream.ofNullable(violation), this.findings.stream()).map(RoutingReport::json).toList();
	}

	private static Map<String, Object> json(RoutingFinding finding) {
		Map<String, Object> json = new LinkedHashMap<>();
		json.put("severity", finding.severity());
		json.put("text", finding.text());
		json.put("place", finding.place());
		json.put("seen", finding.seen());
		json.put("remedy", finding.remedy());
		return json;
	}

	/**
	 * Compares the configuration with the one in force.
	 * @param submitted the bytes of this configuration
	 * @param bytesInForce the bytes of the configuration in force
	 * @param codec decodes it
	 * @return the comparison; errors with code ROUTING_INVALID if the configuration in
	 * force cannot be decoded
	 */
	Comparison compare(byte[] submitted, byte[] bytesInForce, RoutingCodec codec) {
		RoutingConfig inForce = codec.decodeAccepted(bytesInForce);
		RoutingState state = new RoutingState((document) -> {
		});
		state.restore(Documents.of(inForce.number(), bytesInForce).encode());
		RoutingFinding violation = RoutingRules.violationOfReplacement(inForce, this.config);
		SubmissionOutcome outcome = (hasErrors() || violation != null) ? null
				: state.outcomeOf(Documents.of(this.config.number(), submitted));
		return new Comparison(inForce.number(), outcome, violation, RoutingDiff.between(inForce, this.config));
	}

	/**
	 * What differs from the configuration in force.
	 *
	 * @param numberInForce the number of the configuration in force
	 * @param outcome the outcome that a submission would have, or null if it is refused
	 * @param violation why it may not replace the configuration in force, or null
	 * @param changes the differences by meaning
	 */
	record Comparison(long numberInForce, SubmissionOutcome outcome, RoutingFinding violation,
			List<RoutingChange> changes) {

		/**
		 * Returns whether a submission would change the configuration in force.
		 * @return whether it takes effect
		 */
		boolean takesEffect() {
			return this.outcome == SubmissionOutcome.ACCEPTED;
		}

		/**
		 * Describes what a submission would do.
		 * @return one line
		 */
		String effect() {
			return switch (this.outcome) {
				case null -> "a submission would be refused; number " + this.numberInForce + " stays in force";
				case ACCEPTED -> "a submission would take effect; number " + this.numberInForce + " is in force";
				case REPEATED -> "the same content is in force under this number; a submission would change nothing";
				case OVERTAKEN -> "a submission would have no effect; number " + this.numberInForce
						+ " is in force, use a higher one";
				case CONFLICT -> "a submission would be refused; other content is in force under number "
						+ this.numberInForce + ", use a higher one";
			};
		}

	}

}
