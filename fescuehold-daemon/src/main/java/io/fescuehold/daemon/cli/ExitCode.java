package io.fescuehold.daemon.cli;

/**
 * Exit codes of the program.
 */
public final class ExitCode {

	/** The command succeeded. */
	public static final int OK = 0;

	/** The command was refused; the output names the reason and the remedy. */
	public static final int REFUSED = 1;

	/** The arguments or settings are invalid; nothing was started. */
	public static final int USAGE = 2;

	/** The daemon could not be reached or did not respond in time. */
	public static final int UNREACHABLE = 3;

	private ExitCode() {
	}

}
