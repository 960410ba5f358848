package io.fescuehold.daemon.cli;

/**
 * A command of the program. Fields annotated for args4j hold its options.
 */
interface Command {

	/**
	 * Runs the command.
	 * @param console prints results and messages
	 * @return the exit code
	 */
	int run(Console console);

}
