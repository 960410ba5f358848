package io.fescuehold.config;

/**
 * Marks the calls of a service that must run at most once.
 *
 * @param method the HTTP method in upper case
 * @param pathPrefix the prefix of the path below the service name, starting with a slash
 */
public record NonIdempotentRule(String method, String pathPrefix) {

	public NonIdempotentRule {
		Checks.name("method", method);
		Checks.required("pathPrefix", pathPrefix);
		if (!pathPrefix.startsWith("/")) {
			throw new ConfigException("/pathPrefix",
					"is \"" + pathPrefix + "\" but must begin with a slash; write \"/" + pathPrefix + "\"");
		}
	}

	/**
	 * Returns whether the rule matches a call.
	 * @param callMethod the HTTP method of the call
	 * @param path the path below the service name, starting with a slash
	 * @return whether the call must run at most once
	 */
	public boolean matches(String callMethod, String path) {
		return this.method.equalsIgnoreCase(callMethod) && path.startsWith(this.pathPrefix);
	}

}
