package io.fescuehold.daemon.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import org.kohsuke.args4j.Option;

/**
 * Options of the commands that may send requests to a daemon.
 */
abstract class ClientOptions implements Command {

	private static final int DEFAULT_TIMEOUT_MS = 15_000;

	@Option(name = "--token-file", metaVar = "FILE", usage = "file that holds the bearer token")
	private Path tokenFile;

	@Option(name = "--ca-file", metaVar = "FILE",
			usage = "PEM file of the authority that signed the daemon's certificate")
	private Path caFile;

	@Option(name = "--timeout-ms", metaVar = "MS", usage = "longest wait in milliseconds")
	private int timeoutMs = DEFAULT_TIMEOUT_MS;

	/**
	 * Returns a client of a daemon.
	 * @param endpoint the base URL of the daemon
	 * @return the client
	 */
	protected AdminClient client(String endpoint) {
		return new AdminClient(endpoint, readToken(), this.caFile, this.timeoutMs);
	}

	private String readToken() {
		if (this.tokenFile == null) {
			return null;
		}
		try {
			return Files.readString(this.tokenFile).strip();
		}
		catch (IOException ex) {
			throw new FescueholdException(ErrorCode.BAD_SETTING, this.tokenFile, "the file",
					"cannot be read (" + ex.getMessage() + "); name a readable token file");
		}
	}

}
