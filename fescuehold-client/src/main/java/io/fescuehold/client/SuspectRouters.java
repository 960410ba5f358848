package io.fescuehold.client;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import reactor.core.scheduler.Scheduler;

/**
 * Routers that were unreachable or silent a short time ago. Calls use them only if no
 * other router is left.
 */
final class SuspectRouters {

	private static final long HOLD_MS = 5_000;

	private final Map<Address, Long> untilMs = new ConcurrentHashMap<>();

	private final Scheduler scheduler;

	SuspectRouters(Scheduler scheduler) {
		this.scheduler = scheduler;
	}

	void add(Address router) {
		this.untilMs.put(router, nowMs() + HOLD_MS);
	}

	boolean contains(Address router) {
		Long until = this.untilMs.get(router);
		if (until == null) {
			return false;
		}
		if (nowMs() < until) {
			return true;
		}
		this.untilMs.remove(router, until);
		return false;
	}

	private long nowMs() {
		return this.scheduler.now(TimeUnit.MILLISECONDS);
	}

}
