package io.fescuehold.client;

import java.util.UUID;

import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/**
 * Calls the fleet. One call finds a router, moves to another one if it fails or falls
 * silent, resumes streams without gaps or repeats, and retries only what is safe to
 * retry. Failures are reported as {@link FescueholdClientException}. A client may be
 * shared between threads.
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
	 * Starts the settings of a client.
	 * @return the builder
	 */
	public static FescueholdClientBuilder builder() {
		return new FescueholdClientBuilder();
	}

	/**
	 * Asks for the next answer of a chat, piece by piece. Cancelling the subscription
	 * cancels the work at the server.
	 * @param request the request
	 * @return the pieces in order, without gaps or repeats
	 */
	public Flux<String> chat(ChatRequest request) {
		return Flux.defer(() -> new ChatExchange(this.context, request).run());
	}

	/**
	 * Asks for the next answer of a chat as a whole.
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
	 * @return the answer of the service, whatever its status
	 */
	public Mono<ServiceAnswer> call(ServiceRequest request) {
		return Mono.defer(() -> new ServiceExchange(this.context, request).run());
	}

	@Override
	public void close() {
		this.context.http().close();
	}

}
