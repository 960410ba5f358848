package rig;

/** Configurations in the form of the operator's API. */
public final class Config {

	private Config() {
	}

	public static String of(long version, String... routes) {
		return Wire.get("configuration").formatted(version, String.join(",", routes));
	}

	public static String route(String name, String prefix, String kind, String service, int timeoutMs, int sloMs,
			int attempts, boolean resumable) {
		return Wire.get("route").formatted(name, prefix, kind, timeoutMs, sloMs, service, attempts, resumable);
	}

	/** The head of a client's request, without the empty line. */
	public static String head(String method, String path, String id, int deadlineMs) {
		return method + " " + path + " HTTP/1.1\r\nHost: clock.example\r\n" + Wire.REQUEST_ID + ": " + id
				+ "\r\nFescuehold-Deadline-Ms: " + deadlineMs + "\r\nAuthorization: Bearer key1\r\n";
	}

}
