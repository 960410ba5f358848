package io.fescuehold.daemon.cli;

/**
 * Prints a resource of a daemon, such as its state or its metrics.
 */
final class ReadCommand extends RemoteCommand {

	private final String path;

	ReadCommand(String path) {
		this.path = path;
	}

	@Override
	public int run(Console console) {
		return print(console, client().get(this.path));
	}

}
