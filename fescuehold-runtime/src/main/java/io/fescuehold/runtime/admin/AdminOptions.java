package io.fescuehold.runtime.admin;

import java.nio.file.Path;
import java.util.List;

/**
 * The address, tokens and limits of an {@link AdminServer}.
 *
 * @param address the IP number to listen on
 * @param port the port to listen on; 0 chooses a free port
 * @param tls the certificate, or null for plain HTTP
 * @param tokens the tokens of the operators
 * @param limits the limits
 */
public record AdminOptions(String address, int port, Tls tls, List<AdminToken> tokens, Limits limits) {

	public AdminOptions {
		tokens = List.copyOf(tokens);
	}

	/**
	 * The certificate of the server.
	 *
	 * @param certificateFile the certificate chain in PEM form
	 * @param keyFile the private key in PEM form (PKCS #8)
	 */
	public record Tls(Path certificateFile, Path keyFile) {

	}

	/**
	 * The limits of requests.
	 *
	 * @param maxBodyBytes the largest body in bytes
	 * @param bodyMs the longest time in milliseconds for a body to arrive
	 * @param requestMs the longest time in milliseconds for an answer, other than to a
	 * membership change
	 * @param membershipMs the longest time in milliseconds for the answer to a membership
	 * change
	 * @param idleMs the time in milliseconds after which an idle connection is closed
	 */
	public record Limits(int maxBodyBytes, int bodyMs, int requestMs, int membershipMs, int idleMs) {

		/** The limits of a daemon. The body must fit into one frame between daemons. */
		public static final Limits DEFAULT = new Limits(4 * 1024 * 1024, 10_000, 15_000, 300_000, 60_000);

	}

}
