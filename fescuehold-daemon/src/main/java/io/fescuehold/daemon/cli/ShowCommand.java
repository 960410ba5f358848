package io.fescuehold.daemon.cli;

import org.kohsuke.args4j.Option;

/**
 * Prints the configuration in force of a share, in the format for submission.
 */
final class ShowCommand extends RemoteCommand {

	@Option(name = "--share", metaVar = "NAME", usage = "the share", required = true)
	private String share;

	@Option(name = "--stale", usage = "print what the daemon has, without asking the leader")
	private boolean stale;

	@Override
	public int run(Console console) {
		return print(console, client().get("/fescuehold/v1/shares/" + this.share + (this.stale ? "?stale=true" : "")));
	}

}
