package io.fescuehold.daemon.cli;

/**
 * Prints the state of every component of a daemon.
 */
final class DumpCommand extends RemoteCommand {

	@Override
	public int run(Console console) {
		return print(console, client().get("/fescuehold/v1/dump"));
	}

}
