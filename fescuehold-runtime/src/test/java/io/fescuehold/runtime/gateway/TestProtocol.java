package io.fescuehold.runtime.gateway;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import io.fescuehold.core.prompt.PromptPart;
import io.fescuehold.core.prompt.PromptShape;
import io.fescuehold.core.servers.ServerLoadReport;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Mapping of headers with short names for tests.
 */
final class TestProtocol implements CallerProtocol {

	@Override
	public CallerHead read(String method, String uri, HttpHeaders headers) {
		Map<String, String> passedOn = new HashMap<>();
		for (String name : List.of("X-Request", "X-Custom", "X-Parts", "X-Resumes", "Host")) {
			if (headers.contains(name)) {
				passedOn.put(name, headers.get(name));
			}
		}
		List<PromptPart> parts = new ArrayList<>();
		if (headers.contains("X-Parts")) {
			for (String part : headers.get("X-Parts").split(",")) {
				parts.add(new PromptPart(part, 100));
			}
		}
		return new CallerHead(headers.get("X-Request", ""), headers.get("Host"), method, uri, headers.get("X-Key"),
				headers.getInt("X-Left-Ms", 0), headers.getInt("Last-Event-ID", 0), headers.get("X-Resumes"),
				parts.isEmpty() ? null : new PromptShape(parts, 10), passedOn);
	}

	@Override
	public Map<String, String> forward(CallerHead head, Forwarding forwarding) {
		Map<String, String> headers = new HashMap<>(head.headers());
		headers.put("X-Left-Ms", String.valueOf(forwarding.leftMs()));
		headers.put("X-Instance", forwarding.instanceId());
		if (forwarding.team() != null) {
			headers.put("X-Team", forwarding.team());
		}
		if (forwarding.copyFrom() != null) {
			headers.put("X-Copy-From", forwarding.copyFrom());
		}
		if (forwarding.resumeAfter() >= 0) {
			headers.put("Last-Event-ID", String.valueOf(forwarding.resumeAfter()));
		}
		return headers;
	}

	@Override
	public Map<String, String> relay(CallerHead head, long leftMs, long resumeAfter) {
		Map<String, String> headers = new HashMap<>(head.headers());
		headers.put("X-Left-Ms", String.valueOf(leftMs));
		headers.put("X-Key", head.apiKey());
		if (resumeAfter >= 0) {
			headers.put("Last-Event-ID", String.valueOf(resumeAfter));
		}
		return headers;
	}

	@Override
	public AnswerHead read(int status, Map<String, String> headers) {
		return new AnswerHead(status, headers.get("x-request".toLowerCase(Locale.ROOT)), headers.get("x-instance"),
				headers.containsKey("x-signature"), headers.containsKey("x-not-run"),
				headers.containsKey("x-limit") ? Double.valueOf(headers.get("x-limit")) : null,
				headers.containsKey("x-brittle") ? Double.valueOf(headers.get("x-brittle")) : null,
				headers.containsKey("x-rest-ms") ? Long.valueOf(headers.get("x-rest-ms")) : null,
				headers.containsKey("x-leaving"), load(headers.get("x-load")));
	}

	private static ServerLoadReport load(String text) {
		if (text == null) {
			return null;
		}
		int[] figures = Arrays.stream(text.split(",")).mapToInt(Integer::parseInt).toArray();
		return new ServerLoadReport(figures[0], figures[1], figures[2], figures[3]);
	}

}
