package io.fescuehold.runtime.gateway;

/**
 * Watches whether the server of an attempt survives the start of its response, because a
 * request that crashes servers does so then. Not thread-safe: confined to one thread.
 */
final class SurvivalWatch {

	/**
	 * A server that crashes on a request does so as it begins to answer; one that still
	 * sends events after this time has survived that.
	 */
	private static final long SURVIVED_MS = 200;

	private final Attempts attempts;

	private final QuarantineGuard guard;

	private final GatewayLog log;

	/** The number of events that the current server has sent. */
	private int eventCount;

	private long firstEventAtMs;

	/** Whether the current server is known to have survived the start of its response. */
	private boolean answered;

	SurvivalWatch(Attempts attempts, QuarantineGuard guard, GatewayLog log) {
		this.attempts = attempts;
		this.guard = guard;
		this.log = log;
	}

	/**
	 * Prepares for the next server.
	 */
	void renew() {
		this.eventCount = 0;
		this.answered = false;
	}

	/**
	 * Records an event of the response.
	 * @param target the server
	 * @param nowMs the time in milliseconds
	 * @return whether it is the first one
	 */
	boolean eventReceived(Dispatcher.Target target, long nowMs) {
		boolean first = this.eventCount++ == 0;
		if (first) {
			this.firstEventAtMs = nowMs;
		}
		else if (!this.answered && nowMs - this.firstEventAtMs >= SURVIVED_MS) {
			recordAnswered(target);
		}
		return first;
	}

	/**
	 * Records the end of a response.
	 * @param target the server
	 * @param framed whether the response had a length or chunks. Without them its end may
	 * also be the end of the server's process.
	 */
	void responseEnded(Dispatcher.Target target, boolean framed) {
		if (framed) {
			recordAnswered(target);
		}
		else {
			suspectUnlessAnswered(target);
		}
	}

	/**
	 * Records that the connection broke.
	 * @param target the server
	 * @param nowMs the time in milliseconds
	 */
	void connectionLost(Dispatcher.Target target, long nowMs) {
		this.log.connectionLost(this.attempts.request(), target.server().server().id(), this.eventCount,
				(this.eventCount > 0) ? nowMs - this.firstEventAtMs : 0);
		suspectUnlessAnswered(target);
	}

	private void recordAnswered(Dispatcher.Target target) {
		if (!this.answered && !target.relay()) {
			this.answered = true;
			this.guard.answered(this.attempts, this.attempts.request());
		}
	}

	private void suspectUnlessAnswered(Dispatcher.Target target) {
		if (!this.answered && !target.relay()) {
			this.guard.connectionLost(this.attempts.request(), target.server());
		}
	}

}
