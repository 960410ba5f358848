package io.fescuehold.core.routes;

/**
 * The outcome of the submission of a configuration of routes.
 */
public enum SubmissionOutcome {

	/** It has the highest number and is in force. */
	ACCEPTED,

	/** The same content was accepted under this number before. */
	REPEATED,

	/** A higher number is in force, so the submission has no effect. */
	OVERTAKEN,

	/** Other content is in force under this number. */
	CONFLICT

}
