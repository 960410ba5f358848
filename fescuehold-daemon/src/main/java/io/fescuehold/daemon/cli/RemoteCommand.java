package io.fescuehold.daemon.cli;

import org.kohsuke.args4j.Option;

/**
 * Options of the commands that always send requests to a daemon.
 */
abstract class RemoteCommand extends ClientOptions {

	@Option(name = "--endpoint", metaVar = "URL",
			usage = "address of a daemon that serves the command, such as http://127.0.0.1:7101", required = true)
	private String endpoint;

	/**
	 * Returns a client of the daemon.
	 * @return the client
	 */
	protected AdminClient client() {
		return client(this.endpoint);
	}

	/**
	 * Prints the reply and returns the exit code for its status.
	 * @param console prints the reply
	 * @param reply the reply
	 * @return the exit code
	 */
	protected static int print(Console console, AdminClient.Reply reply) {
		if (reply.status() == AdminClient.Reply.UNREACHABLE) {
			console.message(reply.body());
			return ExitCode.UNREACHABLE;
		}
		console.resultText(reply.body());
		return reply.isSuccess() ? ExitCode.OK : ExitCode.REFUSED;
	}

}
