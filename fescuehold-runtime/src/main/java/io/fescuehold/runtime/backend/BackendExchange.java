package io.fescuehold.runtime.backend;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiFunction;
import java.util.function.Supplier;

import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.runtime.http.BodyBuffer;
import io.fescuehold.runtime.http.ByteBudget;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.AttributeKey;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.internal.shaded.reactor.pool.PoolShutdownException;
import reactor.util.retry.Retry;

/**
 * Sends requests to backend servers and distinguishes failures before the request was
 * sent from later ones.
 */
public final class BackendExchange {

	private static final int MAX_POOL_REPLACEMENTS = 5;

	private static final String STATUS_LINE = "HTTP/1.";

	/** Whether a request was sent over the connection. */
	private static final AttributeKey<Boolean> USED = AttributeKey.valueOf(BackendExchange.class, "used");

	private BackendExchange() {
	}

	/**
	 * Sends a request.
	 * @param clients supplies the client of the server; called again if the pool was
	 * replaced while the request waited for a connection
	 * @param request the request
	 * @param receiver converts the response to elements; the buffers are released after
	 * each signal
	 * @param <T> the type of the elements
	 * @return the elements; errors with {@link BackendFailure} if the connection fails
	 */
	public static <T> Flux<T> send(Supplier<HttpClient> clients, BackendRequest request,
			BiFunction<HttpClientResponse, ByteBufFlux, Publisher<T>> receiver) {
		return Flux.defer(() -> {
			AtomicBoolean sendStarted = new AtomicBoolean();
			AtomicBoolean sent = new AtomicBoolean();
			return Flux.defer(() -> clients.get()
				.headers((headers) -> setHeaders(headers, request))
				.request(HttpMethod.valueOf(request.method()))
				.uri(request.uri())
				.send((head, outbound) -> Mono.defer(() -> {
					AtomicBoolean kept = new AtomicBoolean();
					outbound.withConnection(
							(connection) -> kept.set(connection.channel().attr(USED).getAndSet(true) != null));
					request.beforeSend().beforeSend(kept.get());
					sendStarted.set(true);
					Mono<Void> written = (request.body().length > 0)
							? outbound.sendObject(Unpooled.wrappedBuffer(request.body())).then() : Mono.<Void>empty();
					return written.doOnSuccess((done) -> sent.set(true));
				}))
				.response((head, content) -> receiver.apply(head, failIfEndedEarly(head, content, sent))))
				.retryWhen(Retry.max(MAX_POOL_REPLACEMENTS)
					.filter((ex) -> !sendStarted.get() && isPoolReplaced(ex))
					.onRetryExhaustedThrow((spec, signal) -> signal.failure()))
				.onErrorMap((ex) -> classify(ex, sendStarted.get()));
		});
	}

	/**
	 * Sends a request and collects the complete response without counting its bytes.
	 * @param clients supplies the client of the server
	 * @param request the request
	 * @param maxBodyBytes the maximum size of the response body in bytes
	 * @return the response, whatever its status
	 */
	public static Mono<BackendResponse> sendAndCollect(Supplier<HttpClient> clients, BackendRequest request,
			int maxBodyBytes) {
		return sendAndCollect(clients, request, maxBodyBytes, new ByteBudget(Long.MAX_VALUE).lease());
	}

	/**
	 * Sends a request and collects the complete response.
	 * @param clients supplies the client of the server
	 * @param request the request
	 * @param maxBodyBytes the maximum size of the response body in bytes
	 * @param lease counts the bytes of the body until it is closed
	 * @return the response, whatever its status
	 */
	public static Mono<BackendResponse> sendAndCollect(Supplier<HttpClient> clients, BackendRequest request,
			int maxBodyBytes, ByteBudget.Lease lease) {
		return send(clients, request, (head, content) -> collect(head, content, maxBodyBytes, lease)).next();
	}

	/**
	 * Collects the complete response without counting its bytes.
	 * @param head the response head
	 * @param content the response body
	 * @param maxBodyBytes the maximum size of the response body in bytes
	 * @return the response, or a {@link BackendFailure} of kind TOO_LARGE
	 */
	public static Mono<BackendResponse> collect(HttpClientResponse head, ByteBufFlux content, int maxBodyBytes) {
		return collect(head, content, maxBodyBytes, new ByteBudget(Long.MAX_VALUE).lease());
	}

	/**
	 * Collects the complete response.
	 * @param head the response head
	 * @param content the response body
	 * @param maxBodyBytes the maximum size of the response body in bytes
	 * @param lease counts the bytes of the body until it is closed
	 * @return the response, or a {@link BackendFailure} of kind TOO_LARGE or
	 * HOST_MEMORY_FULL, after which the body is no longer held
	 */
	public static Mono<BackendResponse> collect(HttpClientResponse head, ByteBufFlux content, int maxBodyBytes,
			ByteBudget.Lease lease) {
		return Mono.defer(() -> {
			BodyBuffer buffer = new BodyBuffer(lease);
			int lengthBytes = head.responseHeaders().getInt(HttpHeaderNames.CONTENT_LENGTH, 0);
			if (lengthBytes > 0 && lengthBytes <= maxBodyBytes && !buffer.tryExpect(lengthBytes)) {
				return Mono.error(memoryFull(lengthBytes));
			}
			return content.reduceWith(() -> buffer, (bytes, chunk) -> append(bytes, chunk, maxBodyBytes))
				.map((bytes) -> new BackendResponse(head.status().code(), headers(head), toBytes(bytes)))
				.doOnError((error) -> buffer.discard())
				.doOnCancel(buffer::discard);
		});
	}

	private static BodyBuffer append(BodyBuffer buffer, ByteBuf chunk, int maxBodyBytes) {
		int size = buffer.sizeBytes() + chunk.readableBytes();
		if (size > maxBodyBytes) {
			throw new BackendFailure(BackendFailure.Kind.TOO_LARGE,
					"the response body exceeds " + maxBodyBytes + " bytes", null);
		}
		if (!buffer.tryAppend(chunk)) {
			throw memoryFull(size);
		}
		return buffer;
	}

	private static byte[] toBytes(BodyBuffer buffer) {
		byte[] body = buffer.toBytes();
		if (body == null) {
			throw memoryFull(buffer.sizeBytes());
		}
		return body;
	}

	private static BackendFailure memoryFull(int sizeBytes) {
		return new BackendFailure(BackendFailure.Kind.HOST_MEMORY_FULL,
				"this host may not hold " + sizeBytes + " bytes of the response beside other requests", null);
	}

	/**
	 * Returns the headers of a response.
	 * @param head the response head
	 * @return the headers by lower-case name; the values of repeated headers are joined
	 * by commas
	 * @throws BackendFailure if the head is made of the beginning of one response and the
	 * end of another
	 */
	public static Map<String, String> headers(HttpClientResponse head) {
		checkWhole(head.status().reasonPhrase());
		Map<String, String> headers = new HashMap<>();
		head.responseHeaders().forEach((entry) -> {
			checkWhole(entry.getValue());
			headers.merge(entry.getKey().toLowerCase(Locale.ROOT), entry.getValue(),
					(first, second) -> first + ", " + second);
		});
		return headers;
	}

	// A line that was cut continues with the status line of the next response.
	private static void checkWhole(String line) {
		if (line.contains(STATUS_LINE)) {
			throw new BackendFailure(BackendFailure.Kind.PROTOCOL,
					"the response head contains the head of another response", null);
		}
	}

	/**
	 * Returns whether the end of a response is visible. The end of any other response is
	 * the end of its connection, which is then not reused.
	 * @param headers the headers by lower-case name
	 * @return whether the response has a length or chunks
	 */
	public static boolean isFramed(Map<String, String> headers) {
		return headers.containsKey("content-length") || headers.containsKey("transfer-encoding");
	}

	// A server that closes its connection while it is sent the request resets it, and the
	// reset can be reported to the writer alone: the reader then sees an orderly end of a
	// body that was cut. Without a length or chunks nothing else tells the two apart.
	private static ByteBufFlux failIfEndedEarly(HttpClientResponse head, ByteBufFlux content, AtomicBoolean sent) {
		boolean hasNoBody = head.status().equals(HttpResponseStatus.NO_CONTENT)
				|| head.status().equals(HttpResponseStatus.NOT_MODIFIED);
		if (hasNoBody || isFramed(head.responseHeaders())) {
			return content;
		}
		Mono<ByteBuf> check = Mono
			.defer(() -> sent.get() ? Mono.empty() : Mono.error(new BackendFailure(BackendFailure.Kind.LOST,
					"the response, which has neither a length nor chunks, ended before the request was sent", null)));
		return ByteBufFlux.fromInbound(content.concatWith(check));
	}

	private static boolean isFramed(HttpHeaders headers) {
		return headers.contains(HttpHeaderNames.CONTENT_LENGTH) || headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
	}

	private static void setHeaders(HttpHeaders headers, BackendRequest request) {
		headers.remove(HttpHeaderNames.USER_AGENT);
		request.headers().forEach(headers::set);
		if (request.body().length > 0 || !"GET".equals(request.method()) && !"HEAD".equals(request.method())) {
			headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
		}
	}

	private static boolean isPoolReplaced(Throwable ex) {
		return ex instanceof PoolShutdownException || ex.getCause() instanceof PoolShutdownException;
	}

	private static Throwable classify(Throwable ex, boolean sendStarted) {
		if (ex instanceof BackendFailure || ex instanceof FescueholdException) {
			return ex;
		}
		BackendFailure.Kind kind = (sendStarted) ? BackendFailure.Kind.LOST : BackendFailure.Kind.NOT_SENT;
		return new BackendFailure(kind, String.valueOf(ex.getMessage()), ex);
	}

}
