package io.fescuehold.runtime.admin;

import java.nio.file.Path;
import java.util.List;

/**
 * The address, tokens and limits of an {@link AdminServer}.
 *
 * @param address the IP address to listen on
 * @param port the port to listen on; 0 chooses a free port
 * @param tls the certificate and key, or null for plain HTTP
 * @param tokens the tokens of the operators
 * @param limits the limits
 */
public record AdminOptions(String address, int port, Tls tls, List<AdminToken> tokens, Limits limits) {

	public AdminOptions {
		tokens = List.copyOf(tokens);
	}

	/**
	 * The certificate and private key of the server.
	 *
	 * @param certificateFile the certificate chain in PEM form
	 * @param keyFile the private key in PEM form (PKCS #8)
	 */
	public record Tls(Path certificateFile, Path keyFile) {

	}

	/**
	 * The limits of requests.
	 *
	 * @param maxBodyBytes the maximum size of a body in bytes
	 * @param bodyMs the timeout of receiving a body in milliseconds
	 * @param requestMs the timeout of a request in milliseconds, except for membership
	 * changes
	 * @param membershipMs the timeout of a membership change in milliseconds
	 * @param idleMs the time in milliseconds after which an idle connection is closed
	 */
	public record Limits(int maxBodyBytes, int bodyMs, int requestMs, int membershipMs, int idleMs) {

		/** The default limits. A body must fit into one frame between daemons. */
		public static final Limits DEFAULT = new Limits(4 * 1024 * 1024, 10_000, 15_000, 300_000, 60_000);

	}

}
