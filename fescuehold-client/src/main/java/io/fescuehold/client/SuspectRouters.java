package io.fescuehold.client;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import reactor.core.scheduler.Scheduler;

/**
 * Routers that were recently unreachable or unresponsive. Calls use them only if no other
 * router is available.
 */
final class SuspectRouters {

	private static final long AVOIDANCE_MS = 5_000;

	private final Map<Address, Long> avoidUntilMs = new ConcurrentHashMap<>();

	private final Scheduler scheduler;

	SuspectRouters(Scheduler scheduler) {
		this.scheduler = scheduler;
	}

	void add(Address router) {
		this.avoidUntilMs.put(router, nowMs() + AVOIDANCE_MS);
	}

	boolean contains(Address router) {
		Long avoidUntil = this.avoidUntilMs.get(router);
		if (avoidUntil == null) {
			return false;
		}
		if (nowMs() < avoidUntil) {
			return true;
		}
		this.avoidUntilMs.remove(router, avoidUntil);
		return false;
	}

	private long nowMs() {
		return this.scheduler.now(TimeUnit.MILLISECONDS);
	}

}
