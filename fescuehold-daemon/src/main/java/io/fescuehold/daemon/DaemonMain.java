package io.fescuehold.daemon;

import io.fescuehold.daemon.cli.CommandLine;

/**
 * Entry point of the program {@code fescuehold}. The command {@code help} lists all
 * commands.
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
