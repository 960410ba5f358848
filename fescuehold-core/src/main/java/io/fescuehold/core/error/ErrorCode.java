package io.fescuehold.core.error;

/**
 * The codes of all errors that are reported to callers, to operators or in logs. Each
 * code has the HTTP status of the response and a message template that names what was
 * refused, the offending value and the remedy.
 */
public enum ErrorCode {

	/** The request body or a header is not valid. Arguments: place, reason, remedy. */
	BAD_REQUEST(400, "%s is not valid: %s; %s"),

	/** The body is larger than allowed. Arguments: size in bytes, limit in bytes. */
	BODY_TOO_LARGE(413, "The body has %s bytes but at most %s are allowed; send a smaller body"),

	/** The head is larger than allowed. Arguments: size in bytes, limit in bytes. */
	HEAD_TOO_LARGE(431, "The head has at least %s bytes of fields but at most %s are allowed; send fewer headers"),

	/** The team is not configured. Argument: team. */
	UNKNOWN_TEAM(403, "Team \"%s\" is not configured; use a configured team in the Fescuehold-Team header"),

	/** No server offers the model. Argument: model. */
	UNKNOWN_MODEL(404, "Model \"%s\" is not offered to this team; use one of the configured models"),

	/** The service is not configured. Argument: service. */
	UNKNOWN_SERVICE(404, "Service \"%s\" is not offered to this team; use one of the configured services"),

	/** The resource does not exist. Argument: path. */
	NOT_FOUND(404, "Nothing is served at \"%s\"; see the API reference in docs/OPERATIONS.md"),

	/** The bearer token is missing, unknown or not allowed. Argument: action. */
	NOT_AUTHORISED(401, "%s needs a bearer token with the right role; send it in the Authorization header"),

	/** The operation is not allowed for the token's share or role. Argument: action. */
	FORBIDDEN(403, "%s is not allowed for this token; use a token of the owning share and role"),

	/** The team is over its share while the pool is congested. Argument: team. */
	TEAM_OVER_SHARE(429,
			"Team \"%s\" is over its share while servers are congested;"
					+ " retry after the time in the Retry-After header"),

	/** The router's queue is full or the wait would be too long. Argument: model. */
	OVERLOADED(503, "All servers of \"%s\" are at their limit; retry after the time in the Retry-After header"),

	/**
	 * The host holds as many bytes of requests as it may. Arguments: bytes held, limit in
	 * bytes.
	 */
	HOST_MEMORY_FULL(503,
			"This host holds %s bytes of requests of at most %s; send the request to another host or retry after"
					+ " the time in the Retry-After header"),

	/** No usable server is left. Argument: model or service. */
	NO_SERVER(503, "No server of \"%s\" can be reached; retry after the time in the Retry-After header"),

	/** All servers are in failure domains under evacuation. Argument: service. */
	DOMAIN_EVACUATED(503,
			"All servers of \"%s\" are in failure domains under evacuation;"
					+ " retry after the time in the Retry-After header"),

	/** The failure domain is not known. Argument: failure domain. */
	UNKNOWN_DOMAIN(404, "Failure domain \"%s\" is not known; use one of the server list or of the settings"),

	/** The deadline has passed. Argument: deadline in milliseconds. */
	DEADLINE_EXCEEDED(504, "The deadline of %s ms has passed; allow more time or retry"),

	/** The server failed while it ran the request. Arguments: server, reason. */
	SERVER_FAILED(502, "Server \"%s\" failed: %s; retry if the request is idempotent"),

	/** The prompt is known to crash servers. Arguments: parts, service. */
	PROMPT_QUARANTINED(503,
			"Prompt part %s is refused because several servers of \"%s\" crashed on it;"
					+ " send the prompt without it or retry after the time in the Retry-After header"),

	/**
	 * The request was cancelled at a server because its prompt is known to crash servers.
	 * Arguments: parts, server, service.
	 */
	PROMPT_CRASHES_SERVERS(502,
			"Prompt part %s was cancelled at server \"%s\" because several servers of \"%s\" crashed on it;"
					+ " send the prompt without it"),

	/** The request is known to crash servers. Argument: service. */
	REQUEST_QUARANTINED(503,
			"The request is refused because several servers of \"%s\" crashed on it;"
					+ " change it or retry after the time in the Retry-After header"),

	/**
	 * The request was cancelled at a server because it is known to crash servers.
	 * Arguments: server, service.
	 */
	REQUEST_CRASHES_SERVERS(502,
			"The request was cancelled at server \"%s\" because several servers of \"%s\" crashed on it;"
					+ " change it before it is sent again"),

	/** The process is stopping. */
	DRAINING(503, "This host is draining; ask an entry host for other addresses"),

	/** The process stopped before the server answered. Argument: server. */
	HOST_STOPPED(502,
			"This host stops before server \"%s\" has answered; ask an entry host for other addresses and"
					+ " retry if the request is idempotent"),

	/** The call must run at most once but has no key. Arguments: method, path. */
	KEY_MISSING(400, "%s %s must run at most once; send an Idempotency-Key header"),

	/** The key was used with another body. Argument: key. */
	KEY_REUSED(422, "Idempotency-Key \"%s\" was used with another request; use a new key"),

	/** A call with the key is running. Argument: key. */
	CALL_IN_PROGRESS(409,
			"The call with Idempotency-Key \"%s\" is running; retry after the time in the Retry-After header"),

	/** Whether the call ran is unknown. Argument: key. */
	CALL_UNKNOWN(502,
			"Whether the call with Idempotency-Key \"%s\" ran is unknown and it is never run again;"
					+ " check with the service and use a new key if it did not run"),

	/** The call ran but its response is no longer available. Arguments: key, status. */
	CALL_ANSWER_NOT_KEPT(410,
			"The call with Idempotency-Key \"%s\" ran with status %s but its response was too large to keep;"
					+ " ask the service for the result"),

	/** The stream can neither be resumed nor continued. Argument: stream. */
	STREAM_GONE(410,
			"Stream \"%s\" is no longer held by its server; send the original request with the text so far as"
					+ " an assistant message and continue_final_message"),

	/** The store of call records is full. Argument: limit. */
	CALL_STORE_FULL(503,
			"The store holds its limit of %s call records; retry after the time in the Retry-After header"),

	/**
	 * Nobody knows which software version began a stream, and others may not continue it.
	 * Arguments: stream, reason.
	 */
	STREAM_VERSION_UNKNOWN(503,
			"Which software version began stream \"%s\" is unknown: %s; send the request anew without Last-Event-Id"),

	/**
	 * No server of the software version that began a stream is left. Arguments: version,
	 * service.
	 */
	STREAM_VERSION_GONE(503,
			"The stream began at version \"%s\" of \"%s\", of which no server can be used;"
					+ " retry after the time in the Retry-After header or send the request anew without Last-Event-Id"),

	/** The share does not own the team. Arguments: share, team. */
	NOT_OWNER(409, "Share \"%s\" does not own team \"%s\"; retry once the transfer is in force"),

	/** No majority of replicas can be reached. Argument: share. */
	NO_QUORUM(503,
			"No majority of the replicas of share \"%s\" can be reached;"
					+ " retry after the time in the Retry-After header"),

	/** This replica is not the leader. Argument: leader or "unknown". */
	NOT_LEADER(503, "This replica is not the leader; the leader is %s"),

	/** Whether a proposal was accepted is unknown. Argument: reason. */
	OUTCOME_UNKNOWN(504, "Whether the change was accepted is unknown: %s; send the same change again"),

	/** Another submission won the number. Arguments: number, winner digest, operator. */
	SUBMISSION_CONFLICT(409,
			"Number %s was taken by content %s of operator \"%s\"; read the current configuration and"
					+ " submit under the next number"),

	/** The number is not the next one. Arguments: number, expected number. */
	SUBMISSION_NUMBER(409, "Number %s is not the next number %s; read the current configuration and submit again"),

	/**
	 * The digest of the number is no longer kept. Arguments: number, oldest number kept.
	 */
	SUBMISSION_TOO_OLD(410,
			"Number %s is older than %s, the oldest whose outcome is kept; read the current" + " configuration"),

	/** The content breaks a rule. Arguments: JSON pointer, reason and remedy. */
	SUBMISSION_INVALID(422, "%s: %s"),

	/** A configuration of routes breaks a rule. Arguments: place, value, remedy. */
	ROUTING_INVALID(400, "%s is %s; %s"),

	/** Other content is in force under the number. Argument: number. */
	ROUTING_CONFLICT(409, "Number %s is in force with other content; read it back and submit under a higher number"),

	/**
	 * No configuration of routes is known, or it may be outdated. Argument: time of the
	 * last confirmation.
	 */
	ROUTING_STALE(503, "The configuration was last confirmed: %s; retry after the time in the Retry-After header"),

	/** No route matches the request. Arguments: host name, path. */
	NO_ROUTE(404, "No route matches host \"%s\" and path \"%s\"; use a configured host name and path"),

	/** The key of the request is unknown. */
	UNKNOWN_KEY(401, "The key is unknown; send a key in force as a bearer token in the Authorization header"),

	/** Another order to the server may be in progress. Argument: host that sends it. */
	ORDER_HELD(409,
			"Host \"%s\" may be sending an order to this server; retry after the time in the Retry-After header"),

	/** The server refused an order. Arguments: server, reason. */
	ORDER_REFUSED(409, "Server \"%s\" refused the order: %s; send the order again"),

	/** A setting is wrong. Arguments: file, JSON pointer, value and remedy. */
	BAD_SETTING(500, "%s: %s: %s"),

	/** The data folder is damaged. Arguments: file, offset, remedy. */
	STORAGE_DAMAGED(500, "%s is damaged at byte %s; %s"),

	/** A write or sync failed. Arguments: file, reason. */
	STORAGE_FAILED(500, "Writing %s failed: %s; free or replace the disk and restart the process"),

	/** The disk is full. Argument: folder. */
	STORAGE_FULL(507, "The disk of %s is full; free space, nothing was lost"),

	/** A membership change is not possible now. Arguments: change, reason. */
	MEMBERSHIP_REFUSED(409, "Membership change %s was refused: %s");

	private final int httpStatus;

	private final String template;

	ErrorCode(int httpStatus, String template) {
		this.httpStatus = httpStatus;
		this.template = template;
	}

	/**
	 * Returns the HTTP status of a response with this code.
	 * @return the status
	 */
	public int httpStatus() {
		return this.httpStatus;
	}

	/**
	 * Formats the message.
	 * @param arguments the arguments listed in the description of the code, in that order
	 * @return the message
	 */
	public String message(Object... arguments) {
		return String.format(this.template, arguments);
	}

}
