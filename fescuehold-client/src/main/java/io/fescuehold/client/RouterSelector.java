package io.fescuehold.client;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.util.retry.Retry;

/**
 * Selects the router of each attempt of one call: the best one that has not failed in the
 * current round. When all have failed, a new round starts with another lookup at the
 * entry hosts after an exponential backoff.
 */
final class RouterSelector {

	private static final long INITIAL_BACKOFF_MS = 50;

	private static final long MAX_BACKOFF_MS = 1_000;

	private static final long LOOKUP_TIMEOUT_MS = 10_000;

	private static final Duration LOOKUP_RETRY_DELAY = Duration.ofMillis(200);

	private final Set<Address> failed = new HashSet<>();

	private final EntryDirectory directory;

	private final SuspectRouters suspects;

	private final Scheduler scheduler;

	private final String chatId;

	private int rounds;

	RouterSelector(EntryDirectory directory, SuspectRouters suspects, Scheduler scheduler, String chatId) {
		this.directory = directory;
		this.suspects = suspects;
		this.scheduler = scheduler;
		this.chatId = chatId;
	}

	/**
	 * Selects the router of the next attempt.
	 * @return the router; errors if no entry host responds for ten seconds and none has
	 * responded before
	 */
	Mono<Address> next() {
		return lookup().flatMap((routers) -> {
			List<Address> candidates = routers.stream().filter((router) -> !this.failed.contains(router)).toList();
			if (candidates.isEmpty()) {
				return nextRound();
			}
			return Mono.just(candidates.stream()
				.filter((router) -> !this.suspects.contains(router))
				.findFirst()
				.orElse(candidates.getFirst()));
		});
	}

	private Mono<List<Address>> lookup() {
		return Mono.defer(() -> {
			long startedMs = nowMs();
			return Mono.defer(() -> this.directory.routers(this.chatId))
				.retryWhen(Retry.fixedDelay(Long.MAX_VALUE, LOOKUP_RETRY_DELAY)
					.scheduler(this.scheduler)
					.filter((ex) -> nowMs() - startedMs < LOOKUP_TIMEOUT_MS));
		});
	}

	private long nowMs() {
		return this.scheduler.now(TimeUnit.MILLISECONDS);
	}

	private Mono<Address> nextRound() {
		this.failed.clear();
		this.directory.expire(this.chatId);
		long backoffMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS << Math.min(this.rounds, Integer.SIZE / 2));
		this.rounds++;
		return Mono.delay(Duration.ofMillis(backoffMs), this.scheduler).then(Mono.defer(this::next));
	}

	/**
	 * Records that an attempt at a router failed.
	 * @param router the router
	 * @param suspect whether other calls should avoid the router for a while as well
	 */
	void failed(Address router, boolean suspect) {
		this.failed.add(router);
		if (suspect) {
			this.suspects.add(router);
		}
	}

}
