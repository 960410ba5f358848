package io.fescuehold.core.routes;

import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Configurations for tests.
 */
final class RoutingSamples {

	private RoutingSamples() {
	}

	static Route route(String name, String prefix) {
		return route(name, prefix, 1_000, "service");
	}

	static Route route(String name, String prefix, int timeoutMs, String service) {
		return new Route(name, "h.example", prefix, RouteKind.IDEMPOTENT, false, timeoutMs, 100, 0, 0,
				List.of(new ServiceWeight(service, 1)), 2, false);
	}

	static RoutingConfig config(long number, List<Route> routes) {
		return new RoutingConfig(number, routes, List.of(new RoutedService("service", "/healthz", 10, null)),
				CallerLimits.DEFAULT, List.of(new TeamAccess("team-1", List.of("key-1", "key-2"), 0),
						new TeamAccess("team-2", List.of("key-3"), null)));
	}

	static RoutingDocument document(long number, String content) {
		byte[] signature = new byte[RoutingDocument.SIGNATURE_BYTES];
		byte[] bytes = content.getBytes(StandardCharsets.UTF_8);
		System.arraycopy(bytes, 0, signature, 0, Math.min(bytes.length, signature.length));
		return new RoutingDocument(number, signature, bytes);
	}

}
