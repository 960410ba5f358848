package io.fescuehold.client;

import java.time.Duration;

import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * State and services shared by all calls of a client.
 *
 * @param options the settings
 * @param http sends the attempts to routers
 * @param directory looks up the routers for a chat
 * @param suspects the routers to avoid
 * @param hints the last hint of each chat
 * @param budget limits retries
 * @param scheduler the clock and timers
 * @param clientId an id used in place of a chat id, so that calls without a chat are
 * spread over the routers
 */
record ClientContext(ClientOptions options, RouterHttp http, EntryDirectory directory, SuspectRouters suspects,
		ChatHints hints, RetryBudget budget, Scheduler scheduler, String clientId) {

	RouterSelector selector(String chatId) {
		return new RouterSelector(this.directory, this.suspects, this.scheduler, chatId);
	}

	long nowMs() {
		return this.scheduler.now(java.util.concurrent.TimeUnit.MILLISECONDS);
	}

	Mono<Long> after(long delayMs) {
		return Mono.delay(Duration.ofMillis(delayMs), this.scheduler);
	}

}
