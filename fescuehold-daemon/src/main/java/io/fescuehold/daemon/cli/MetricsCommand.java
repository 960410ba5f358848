package io.fescuehold.daemon.cli;

/**
 * Prints the metrics of a daemon.
 */
final class MetricsCommand extends RemoteCommand {

	@Override
	public int run(Console console) {
		return print(console, client().get("/fescuehold/v1/metrics"));
	}

}
