package io.fescuehold.daemon.cli;

/**
 * Prints the leaders, the members and the number of the configuration in force on each
 * host.
 */
final class StatusCommand extends RemoteCommand {

	@Override
	public int run(Console console) {
		return print(console, client().get("/fescuehold/v1/status"));
	}

}
