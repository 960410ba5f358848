package io.fescuehold.daemon.cli;

/**
 * Stops a daemon gracefully: no request in flight is cut off, and the daemon outlives the
 * entry responses that name it.
 */
final class DrainCommand extends RemoteCommand {

	@Override
	public int run(Console console) {
		return print(console, client().post("/fescuehold/v1/drain", ""));
	}

}
