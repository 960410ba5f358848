package rig;

/** Configurations in the form of the operator's API. */
public final class Config {

	private Config() {
	}

	public static String of(long version, String... routes) {
		return """
				{"version":%d,"routes":[%s],
				"services":[{"name":"depot","health_path":"/healthz","max_connections":120,"protocol":"h1","tls":false},
				{"name":"models","health_path":"/healthz","max_connections":510,"protocol":"h1","tls":false}],
				"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
				"idle_timeout_ms":15000},
				"tenants":[{"name":"team1","api_keys":["key1"],"priority":1}]}
				""".formatted(version, String.join(",", routes));
	}

	public static String route(String name, String prefix, String kind, String service, int timeoutMs, int sloMs,
			int attempts, boolean resumable) {
		return """
				{"name":"%s","hostname":"clock.example","path_prefix":"%s","route_kind":"%s","timeout_ms":%d,\
				"slo_ms":%d,"priority":1,"service":"%s","max_attempts":%d,"public":false,"sticky":false,\
				"resumable":%s,"gap_slo_ms":400}""".formatted(name, prefix, kind, timeoutMs, sloMs, service, attempts,
				resumable);
	}

	/** The head of a client's request, without the empty line. */
	public static String head(String method, String path, String id, int deadlineMs) {
		return method + " " + path + " HTTP/1.1\r\nHost: clock.example\r\nFescuehold-Attempt-Id: " + id
				+ "\r\nFescuehold-Deadline-Ms: " + deadlineMs + "\r\nAuthorization: Bearer key1\r\n";
	}

}
