package io.fescuehold.daemon.cli;

/**
 * Stops a daemon gracefully: the requests in flight complete, and the daemon keeps
 * serving until the entry responses that name it have expired.
 */
final class DrainCommand extends RemoteCommand {

	@Override
	public int run(Console console) {
		return print(console, client().post("/fescuehold/v1/drain", ""));
	}

}
