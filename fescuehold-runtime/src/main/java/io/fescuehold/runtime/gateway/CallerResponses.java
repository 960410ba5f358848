package io.fescuehold.runtime.gateway;

import java.util.Locale;
import java.util.Map;
import java.util.Set;

import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.runtime.http.Problems;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Writes the parts of responses that depend on who gets them: a caller, or another host
 * that passed the request on.
 */
final class CallerResponses {

	private static final double MS_PER_S = 1_000;

	/** Headers of one connection, and those that only hosts may set. */
	private static final Set<String> NOT_RETURNED = Set.of("connection", "keep-alive", "transfer-encoding", "te",
			"trailer", "upgrade", "proxy-connection", "content-length", RelayHop.RESPONSE_VERSION,
			RelayHop.RESPONSE_SERVER, RelayHop.RESPONSE_REFUSAL);

	private CallerResponses() {
	}

	static void nameServer(GatewayRequest request, String serverId, HttpServerResponse response) {
		if (request.hop() != null) {
			response.header(RelayHop.RESPONSE_SERVER, serverId);
		}
	}

	static void addHeaders(HttpServerResponse response, Map<String, String> headers) {
		headers.forEach((name, value) -> {
			if (!NOT_RETURNED.contains(name.toLowerCase(Locale.ROOT))) {
				response.header(name, value);
			}
		});
	}

	static Mono<Void> refuse(HttpServerResponse response, FescueholdException refusal, RelayHop hop) {
		if (hop != null) {
			response.header(RelayHop.RESPONSE_REFUSAL, RelayHop.encode(refusal));
		}
		byte[] body = Problems.json(refusal);
		response.status(refusal.code().httpStatus())
			.header(HttpHeaderNames.CONTENT_TYPE, Problems.MEDIA_TYPE)
			.header(HttpHeaderNames.CONTENT_LENGTH, String.valueOf(body.length));
		if (refusal.retryAfterMs() > 0) {
			response.header(HttpHeaderNames.RETRY_AFTER, String.valueOf(refusal.retryAfterMs() / MS_PER_S));
		}
		return response.sendObject(Unpooled.wrappedBuffer(body)).then();
	}

}
