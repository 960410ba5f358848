package io.fescuehold.runtime.gateway;

import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.error.RunStatus;
import io.fescuehold.core.quarantine.Attribution;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Ends the attempts at a request before a server has answered, because the request is
 * known to crash servers or because this host stops. Not thread-safe: confined to one
 * thread.
 */
final class Withdrawal {

	/** Another host takes the request at once. */
	private static final long STOPPING_RETRY_AFTER_MS = 200;

	private final QuarantineGuard guard;

	private Sinks.One<Boolean> signal = Sinks.one();

	private Attribution attribution;

	private boolean stopping;

	Withdrawal(QuarantineGuard guard) {
		this.guard = guard;
	}

	/**
	 * Prepares for the next attempt.
	 */
	void renew() {
		this.signal = Sinks.one();
	}

	/**
	 * Ends the current attempt, because the request is known to crash servers.
	 * @param newAttribution the attribution
	 */
	void byQuarantine(Attribution newAttribution) {
		this.attribution = newAttribution;
		this.signal.tryEmitValue(true);
	}

	/**
	 * Ends the current attempt and rules out others, because this host stops.
	 */
	void byStop() {
		this.stopping = true;
		this.signal.tryEmitValue(true);
	}

	/**
	 * Returns whether this host stops.
	 * @return whether no further attempt may begin
	 */
	boolean isByStop() {
		return this.stopping;
	}

	/**
	 * Returns the signal that ends the current attempt.
	 * @return emits once when the attempt must end
	 */
	Mono<Boolean> signal() {
		return this.signal.asMono();
	}

	/**
	 * Creates the error for the caller.
	 * @param serverId the server of the last attempt, or null before the first one
	 * @param mayHaveRun whether a server may have run the request
	 * @return the error
	 */
	FescueholdException error(String serverId, boolean mayHaveRun) {
		if (this.stopping) {
			return mayHaveRun ? FescueholdException.of(ErrorCode.HOST_STOPPED, RunStatus.UNKNOWN, 0, serverId)
					: FescueholdException.of(ErrorCode.DRAINING, RunStatus.NO, STOPPING_RETRY_AFTER_MS);
		}
		return mayHaveRun ? this.guard.cancellation(this.attribution, serverId) : this.guard.refusal(this.attribution);
	}

}
