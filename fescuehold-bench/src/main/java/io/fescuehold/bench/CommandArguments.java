package io.fescuehold.bench;

import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/**
 * Reads the command line of the commands in this module.
 */
public final class CommandArguments {

	private static final int USAGE_ERROR = 2;

	private CommandArguments() {
	}

	/**
	 * Sets the annotated fields of an object. Arguments that are not valid end the
	 * process with exit code 2 after the reason and the options have been printed.
	 * @param options the object with fields annotated for args4j
	 * @param arguments the command line
	 */
	public static void parse(Object options, String... arguments) {
		CmdLineParser parser = new CmdLineParser(options);
		try {
			parser.parseArgument(arguments);
		}
		catch (CmdLineException ex) {
			System.err.println(ex.getMessage());
			parser.printUsage(System.err);
			System.exit(USAGE_ERROR);
		}
	}

}
