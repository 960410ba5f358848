package io.fescuehold.client;

import java.time.Duration;

import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * What all calls of a client share.
 *
 * @param options the settings
 * @param http sends attempts
 * @param directory finds routers
 * @param suspects the routers to avoid
 * @param hints the chats' hints
 * @param budget limits retries
 * @param scheduler the clock and timers
 * @param clientId an id that spreads calls without a chat over routers
 */
record ClientContext(ClientOptions options, RouterHttp http, EntryDirectory directory, SuspectRouters suspects,
		ChatHints hints, RetryBudget budget, Scheduler scheduler, String clientId) {

	RouterChoice choice(String chatId) {
		return new RouterChoice(this.directory, this.suspects, this.scheduler, chatId);
	}

	long nowMs() {
		return this.scheduler.now(java.util.concurrent.TimeUnit.MILLISECONDS);
	}

	Mono<Long> after(long delayMs) {
		return Mono.delay(Duration.ofMillis(delayMs), this.scheduler);
	}

}
