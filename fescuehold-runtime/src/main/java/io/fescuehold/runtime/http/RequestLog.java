package io.fescuehold.runtime.http;

import java.util.logging.Level;

import com.google.common.flogger.FluentLogger;
import com.google.common.flogger.MetadataKey;
import io.fescuehold.core.error.FescueholdException;

/**
 * Writes one log line for each refused request and for each recovery of a stream, with
 * the request, chat, team and server as fields.
 */
final class RequestLog {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private static final MetadataKey<String> REQUEST_ID = MetadataKey.single("requestId", String.class);

	private static final MetadataKey<String> CHAT = MetadataKey.single("chat", String.class);

	private static final MetadataKey<String> TEAM = MetadataKey.single("team", String.class);

	private static final MetadataKey<String> SERVER = MetadataKey.single("server", String.class);

	/**
	 * Logs a refusal.
	 * @param caller the request
	 * @param refusal the refusal
	 */
	void refused(CallerRequest caller, FescueholdException refusal) {
		Level level = (refusal.code().httpStatus() >= 500) ? Level.WARNING : Level.INFO;
		LOGGER.at(level)
			.with(REQUEST_ID, caller.requestId())
			.with(CHAT, caller.chatId())
			.with(TEAM, caller.team())
			.log("Refused with %s, run %s: %s", refusal.code(), refusal.run(), refusal.getMessage());
	}

	/**
	 * Logs the failure of a backend server during a request.
	 * @param caller the request
	 * @param serverId the server
	 * @param failure what happened
	 * @param action what the router does about it
	 */
	void backendFailed(CallerRequest caller, String serverId, Throwable failure, String action) {
		LOGGER.atInfo()
			.with(REQUEST_ID, caller.requestId())
			.with(CHAT, caller.chatId())
			.with(TEAM, caller.team())
			.with(SERVER, serverId)
			.log("Server failed: %s; %s", failure.getMessage(), action);
	}

	/**
	 * Logs that the caller closed its connection early.
	 * @param caller the request
	 */
	void callerLeft(CallerRequest caller) {
		LOGGER.atInfo()
			.with(REQUEST_ID, caller.requestId())
			.with(CHAT, caller.chatId())
			.with(TEAM, caller.team())
			.log("The caller closed the connection before the response was complete");
	}

	/**
	 * Logs an error of the router itself.
	 * @param caller the request
	 * @param error the error
	 */
	void failed(CallerRequest caller, Throwable error) {
		LOGGER.atSevere()
			.withCause(error)
			.with(REQUEST_ID, caller.requestId())
			.with(CHAT, caller.chatId())
			.with(TEAM, caller.team())
			.log("Request failed in the router");
	}

}
