package io.fescuehold.runtime.http;

import java.util.logging.Level;

import com.google.common.flogger.FluentLogger;
import com.google.common.flogger.MetadataKey;
import io.fescuehold.core.error.FescueholdException;

/**
 * Logs refused requests, failures of backend servers, disconnected callers and internal
 * errors, with the request, chat, team and server as fields.
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
			.log("Request refused with %s, run status %s: %s", refusal.code(), refusal.run(), refusal.getMessage());
	}

	/**
	 * Logs the failure of a backend server during a request.
	 * @param caller the request
	 * @param serverId the server
	 * @param failure the failure
	 * @param action how the router handles the failure
	 */
	void backendFailed(CallerRequest caller, String serverId, Throwable failure, String action) {
		LOGGER.atInfo()
			.with(REQUEST_ID, caller.requestId())
			.with(CHAT, caller.chatId())
			.with(TEAM, caller.team())
			.with(SERVER, serverId)
			.log("Backend server failed: %s; %s", failure.getMessage(), action);
	}

	/**
	 * Logs that the caller closed its connection before the response was complete.
	 * @param caller the request
	 */
	void callerDisconnected(CallerRequest caller) {
		LOGGER.atInfo()
			.with(REQUEST_ID, caller.requestId())
			.with(CHAT, caller.chatId())
			.with(TEAM, caller.team())
			.log("The caller closed the connection before the response was complete");
	}

	/**
	 * Logs an internal error of the router.
	 * @param caller the request
	 * @param error the error
	 */
	void internalError(CallerRequest caller, Throwable error) {
		LOGGER.atSevere()
			.withCause(error)
			.with(REQUEST_ID, caller.requestId())
			.with(CHAT, caller.chatId())
			.with(TEAM, caller.team())
			.log("Request failed with an internal error of the router");
	}

}
