package io.fescuehold.client;

import java.io.File;
import java.net.ConnectException;
import java.net.UnknownHostException;
import java.time.Duration;
import java.util.Map;

import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.ssl.SslContextBuilder;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.Http11SslContextSpec;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

/**
 * Sends single attempts to routers. The automatic retry of the HTTP library is disabled,
 * because it could send a call twice without the client knowing.
 */
final class RouterHttp implements AutoCloseable {

	private static final int MAX_CONNECTIONS = 500;

	private static final Duration MAX_IDLE = Duration.ofSeconds(10);

	private final ConnectionProvider connections = ConnectionProvider.builder("fescuehold-client")
		.maxConnections(MAX_CONNECTIONS)
		.maxIdleTime(MAX_IDLE)
		.lifo()
		.build();

	private final HttpClient client;

	private final String scheme;

	RouterHttp(ClientOptions options) {
		HttpClient plain = HttpClient.create(this.connections)
			.disableRetry(true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, options.connectLimitMs())
			.option(ChannelOption.TCP_NODELAY, true);
		if (options.trustedCertificates() == null) {
			this.client = plain;
			this.scheme = "http";
		}
		else {
			File certificates = options.trustedCertificates().toFile();
			Http11SslContextSpec context = Http11SslContextSpec.forClient()
				.configure((builder) -> trust(builder, certificates));
			this.client = plain.secure((spec) -> spec.sslContext(context));
			this.scheme = "https";
		}
	}

	private static void trust(SslContextBuilder builder, File certificates) {
		builder.trustManager(certificates);
	}

	/**
	 * Sends a request and returns the response as it arrives. The connection is closed if
	 * the subscription is cancelled.
	 * @param address the router
	 * @param method the HTTP method
	 * @param path the path with its query
	 * @param headers the headers
	 * @param body the body, empty for none
	 * @return the head, then the body
	 */
	Flux<WireSignal> send(Address address, String method, String path, Map<String, String> headers, byte[] body) {
		return this.client.headers((all) -> headers.forEach(all::set))
			.request(HttpMethod.valueOf(method))
			.uri(this.scheme + "://" + address + path)
			.send((request, outbound) -> (body.length == 0) ? outbound : outbound.sendByteArray(Mono.just(body)))
			.response(RouterHttp::signals);
	}

	private static Publisher<WireSignal> signals(HttpClientResponse response, ByteBufFlux content) {
		WireSignal head = new WireSignal.Head(response.status().code(), response.responseHeaders());
		return Flux.concat(Mono.just(head), content.asByteArray().map(WireSignal.Body::new));
	}

	/**
	 * Closes the idle connections to a router after one of its connections stopped
	 * responding.
	 * @param address the router
	 */
	void evictIdle(Address address) {
		this.connections.disposeWhen(address.socketAddress());
	}

	/**
	 * Returns whether a failure proves that no byte of the request was sent.
	 * @param failure the failure of an attempt
	 * @return whether nothing was sent
	 */
	static boolean provesNotSent(Throwable failure) {
		return failure instanceof ConnectException || failure instanceof ConnectTimeoutException
				|| failure instanceof UnknownHostException;
	}

	@Override
	public void close() {
		this.connections.dispose();
	}

}
