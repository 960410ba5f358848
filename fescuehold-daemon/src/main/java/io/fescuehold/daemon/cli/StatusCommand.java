package io.fescuehold.daemon.cli;

/**
 * Prints the leaders, the members and which configuration number is in force at which
 * host.
 */
final class StatusCommand extends RemoteCommand {

	@Override
	public int run(Console console) {
		return print(console, client().get("/fescuehold/v1/status"));
	}

}
