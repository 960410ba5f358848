package io.fescuehold.client;

import java.util.UUID;

import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/**
 * Client of the router fleet. Each call looks up a router, fails over to another one if
 * the router fails or stops responding, resumes streams without gaps or duplicates, and
 * retries only requests that are safe to retry. Failures are reported as
 * {@link FescueholdClientException}. Instances are thread-safe.
 */
public final class FescueholdClient implements AutoCloseable {

	private final ClientContext context;

	FescueholdClient(ClientOptions options) {
		RouterHttp http = new RouterHttp(options);
		Scheduler scheduler = Schedulers.parallel();
		SuspectRouters suspects = new SuspectRouters(scheduler);
		this.context = new ClientContext(options, http, new EntryDirectory(options, http, suspects, scheduler),
				suspects, new ChatHints(), new RetryBudget(), scheduler, UUID.randomUUID().toString());
	}

	/**
	 * Creates a builder with the default settings.
	 * @return the builder
	 */
	public static FescueholdClientBuilder builder() {
		return new FescueholdClientBuilder();
	}

	/**
	 * Requests the next answer of a chat and streams its text. Cancelling the
	 * subscription cancels the generation at the server.
	 * @param request the request
	 * @return the fragments of the text in order, without gaps or duplicates
	 */
	public Flux<String> chat(ChatRequest request) {
		return Flux.defer(() -> new ChatExchange(this.context, request).run());
	}

	/**
	 * Requests the next answer of a chat and returns it once it is complete.
	 * @param request the request
	 * @return the answer
	 */
	public Mono<ChatAnswer> chatAnswer(ChatRequest request) {
		return Mono.defer(() -> {
			ChatExchange exchange = new ChatExchange(this.context, request);
			return exchange.run().then(Mono.fromSupplier(exchange::answer));
		});
	}

	/**
	 * Calls a service.
	 * @param request the request
	 * @return the response of the service, whatever its status
	 */
	public Mono<ServiceAnswer> call(ServiceRequest request) {
		return Mono.defer(() -> new ServiceExchange(this.context, request).run());
	}

	@Override
	public void close() {
		this.context.http().close();
	}

}
