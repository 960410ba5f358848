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
 * Chooses the router of each attempt of one call: the best one that has not failed in
 * this round. When all have failed, entry hosts are asked again after a growing pause.
 */
final class RouterChoice {

	private static final long FIRST_PAUSE_MS = 50;

	private static final long MAX_PAUSE_MS = 1_000;

	private static final long ENTRY_LIMIT_MS = 10_000;

	private static final Duration ENTRY_PAUSE = Duration.ofMillis(200);

	private final Set<Address> failed = new HashSet<>();

	private final EntryDirectory directory;

	private final SuspectRouters suspects;

	private final Scheduler scheduler;

	private final String chatId;

	private int rounds;

	RouterChoice(EntryDirectory directory, SuspectRouters suspects, Scheduler scheduler, String chatId) {
		this.directory = directory;
		this.suspects = suspects;
		this.scheduler = scheduler;
		this.chatId = chatId;
	}

	/**
	 * Chooses the router of the next attempt.
	 * @return the router; fails if no entry host answers for ten seconds and none has
	 * answered before
	 */
	Mono<Address> next() {
		return lookup().flatMap((routers) -> {
			List<Address> left = routers.stream().filter((router) -> !this.failed.contains(router)).toList();
			if (left.isEmpty()) {
				return nextRound();
			}
			return Mono.just(left.stream()
				.filter((router) -> !this.suspects.contains(router))
				.findFirst()
				.orElse(left.getFirst()));
		});
	}

	private Mono<List<Address>> lookup() {
		return Mono.defer(() -> {
			long startedMs = nowMs();
			return Mono.defer(() -> this.directory.routers(this.chatId))
				.retryWhen(Retry.fixedDelay(Long.MAX_VALUE, ENTRY_PAUSE)
					.scheduler(this.scheduler)
					.filter((ex) -> nowMs() - startedMs < ENTRY_LIMIT_MS));
		});
	}

	private long nowMs() {
		return this.scheduler.now(TimeUnit.MILLISECONDS);
	}

	private Mono<Address> nextRound() {
		this.failed.clear();
		this.directory.expire(this.chatId);
		long pauseMs = Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS << Math.min(this.rounds, Integer.SIZE / 2));
		this.rounds++;
		return Mono.delay(Duration.ofMillis(pauseMs), this.scheduler).then(Mono.defer(this::next));
	}

	/**
	 * Notes that a router failed an attempt.
	 * @param router the router
	 * @param suspect whether other calls should avoid it for a time as well
	 */
	void failed(Address router, boolean suspect) {
		this.failed.add(router);
		if (suspect) {
			this.suspects.add(router);
		}
	}

}
