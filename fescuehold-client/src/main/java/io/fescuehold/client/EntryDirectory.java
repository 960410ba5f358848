package io.fescuehold.client;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Looks up the routers to use for a chat at the entry hosts and caches each response for
 * as long as it is valid. Entry hosts are queried in order, starting at a random one;
 * those that were recently unresponsive are queried last, so that a resumed stream does
 * not wait for the host that has just failed. If none responds, an expired response is
 * used, because its routers may still be available.
 */
final class EntryDirectory {

	private static final int MAX_CHATS = 10_000;

	private static final int OK = 200;

	private final ObjectMapper mapper = new ObjectMapper();

	private final Map<String, CachedRouters> cache = new LruMap<>(MAX_CHATS);

	private final ClientOptions options;

	private final RouterHttp http;

	private final SuspectRouters suspects;

	private final Scheduler scheduler;

	EntryDirectory(ClientOptions options, RouterHttp http, SuspectRouters suspects, Scheduler scheduler) {
		this.options = options;
		this.http = http;
		this.suspects = suspects;
		this.scheduler = scheduler;
	}

	/**
	 * Returns the routers to use for a chat.
	 * @param chatId the id of the chat, or another id that spreads the load
	 * @return the routers, best first; errors with the last entry host's failure if no
	 * entry host ever responded for this id
	 */
	Mono<List<Address>> routers(String chatId) {
		CachedRouters cached = cached(chatId);
		if (cached != null && nowMs() < cached.validUntilMs()) {
			return Mono.just(cached.routers());
		}
		Mono<CachedRouters> lookup = Mono.error(new IllegalStateException("No entry host is set"));
		List<Address> order = new ArrayList<>(this.options.entries());
		Collections.rotate(order, ThreadLocalRandom.current().nextInt(order.size()));
		order.sort(Comparator.comparing(this.suspects::contains));
		boolean first = true;
		for (Address entry : order) {
			Mono<CachedRouters> next = Mono.defer(() -> query(entry, chatId));
			lookup = (first) ? next : lookup.onErrorResume((ex) -> next);
			first = false;
		}
		return lookup.doOnNext((entry) -> store(chatId, entry))
			.onErrorResume((ex) -> (cached != null) ? Mono.just(cached) : Mono.error(ex))
			.map(CachedRouters::routers);
	}

	/**
	 * Marks the cached response for a chat as expired, so that the next lookup queries
	 * the entry hosts.
	 * @param chatId the id of the chat
	 */
	synchronized void expire(String chatId) {
		this.cache.computeIfPresent(chatId, (key, entry) -> new CachedRouters(entry.routers(), 0));
	}

	private synchronized CachedRouters cached(String chatId) {
		return this.cache.get(chatId);
	}

	private synchronized void store(String chatId, CachedRouters entry) {
		this.cache.put(chatId, entry);
	}

	private long nowMs() {
		return this.scheduler.now(java.util.concurrent.TimeUnit.MILLISECONDS);
	}

	private Mono<CachedRouters> query(Address entry, String chatId) {
		String path = "/fescuehold/v1/entry?chat=" + URLEncoder.encode(chatId, StandardCharsets.UTF_8);
		Flux<WireSignal> response = this.http.send(entry, "GET", path, Map.of("Fescuehold-Team", this.options.team()),
				new byte[0]);
		return response.collectList()
			.timeout(Duration.ofMillis(this.options.entryLimitMs()), this.scheduler)
			.doOnError((ex) -> {
				this.suspects.add(entry);
				this.http.evictIdle(entry);
			})
			.map((signals) -> read(entry, signals));
	}

	private CachedRouters read(Address from, List<WireSignal> signals) {
		int status = 0;
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		for (WireSignal signal : signals) {
			switch (signal) {
				case WireSignal.Head head -> status = head.status();
				case WireSignal.Body part -> body.writeBytes(part.bytes());
			}
		}
		if (status != OK) {
			throw new IllegalStateException("Entry host " + from + " responded with status " + status);
		}
		try {
			JsonNode json = this.mapper.readTree(body.toByteArray());
			List<Address> routers = new ArrayList<>();
			json.path("addresses").forEach((address) -> routers.add(Address.parse(address.asText())));
			if (routers.isEmpty()) {
				throw new IllegalStateException("Entry host " + from + " returned no router");
			}
			return new CachedRouters(List.copyOf(routers), nowMs() + json.path("validForMs").asLong());
		}
		catch (IOException ex) {
			throw new IllegalStateException("Entry host " + from + " returned a response that is not valid JSON", ex);
		}
	}

	/**
	 * A cached response of an entry host.
	 *
	 * @param routers the routers
	 * @param validUntilMs the time on the scheduler's clock until which they are valid,
	 * in milliseconds
	 */
	private record CachedRouters(List<Address> routers, long validUntilMs) {
	}

}
