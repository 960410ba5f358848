package io.fescuehold.runtime.http;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.fescuehold.core.error.FescueholdException;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Writes refusals as RFC 9457 problem details.
 */
public final class Problems {

	private static final JsonMapper MAPPER = new JsonMapper();

	/** The media type of problem details. */
	public static final String MEDIA_TYPE = "application/problem+json";

	private static final long MS_PER_S = 1_000;

	private Problems() {
	}

	/**
	 * Writes a refusal.
	 * @param response the response, whose head has not been sent
	 * @param refusal the refusal
	 * @return completes once the response is written
	 */
	static Mono<Void> write(HttpServerResponse response, FescueholdException refusal) {
		byte[] body = json(refusal);
		response.status(refusal.code().httpStatus())
			.header(HttpHeaderNames.CONTENT_TYPE, MEDIA_TYPE)
			.header(HttpHeaderNames.CONTENT_LENGTH, String.valueOf(body.length));
		if (refusal.retryAfterMs() > 0) {
			response.header(HttpHeaderNames.RETRY_AFTER, String.valueOf(retryAfterS(refusal)));
		}
		return response.sendObject(Unpooled.wrappedBuffer(body)).then();
	}

	/**
	 * Formats a refusal.
	 * @param refusal the refusal
	 * @return the problem details as JSON
	 */
	public static byte[] json(FescueholdException refusal) {
		Map<String, Object> problem = new LinkedHashMap<>();
		problem.put("type", "about:blank");
		problem.put("status", refusal.code().httpStatus());
		problem.put("title", refusal.code().name().toLowerCase(Locale.ROOT).replace('_', ' '));
		problem.put("detail", refusal.getMessage());
		problem.put("code", refusal.code().name());
		problem.put("run", refusal.run().name().toLowerCase(Locale.ROOT));
		problem.put("remedy", remedy(refusal.getMessage()));
		if (refusal.retryAfterMs() > 0) {
			problem.put("retryAfterMs", refusal.retryAfterMs());
		}
		try {
			return MAPPER.writeValueAsBytes(problem);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("The problem details could not be serialised as JSON", ex);
		}
	}

	private static String remedy(String message) {
		return message.substring(message.lastIndexOf(';') + 1).strip();
	}

	private static long retryAfterS(FescueholdException refusal) {
		return Math.ceilDiv(refusal.retryAfterMs(), MS_PER_S);
	}

}
