package io.fescuehold.daemon;

import io.fescuehold.daemon.cli.CommandLine;

/**
 * The program {@code fescuehold}. Run it with {@code help} for its commands.
 */
public final class DaemonMain {

	private DaemonMain() {
	}

	/**
	 * Runs a command and exits with its code.
	 * @param args the command and its options
	 */
	public static void main(String[] args) {
		System.exit(new CommandLine(System.out, System.err).run(args));
	}

}
