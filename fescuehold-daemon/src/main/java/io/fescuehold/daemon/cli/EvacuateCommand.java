package io.fescuehold.daemon.cli;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/**
 * Begins or ends the evacuation of a failure domain, or prints which are evacuated and
 * what is left of each service. Orders can safely be repeated.
 */
final class EvacuateCommand extends RemoteCommand {

	private static final String PATH = "/evacuations";

	@Argument(metaVar = "DOMAIN", usage = "failure domain to whose servers nothing may be sent; status if missing")
	private String domain;

	@Option(name = "--end", usage = "take the order back")
	private boolean ends;

	@Option(name = "--status", usage = "print the evacuations that the daemon obeys")
	private boolean status;

	@Override
	public int run(Console console) {
		if (this.domain == null && this.ends || this.domain != null && this.status) {
			console.message("--end needs a failure domain and --status takes none");
			return ExitCode.USAGE;
		}
		if (this.domain == null) {
			return print(console, client().get(PATH));
		}
		String escaped = URLEncoder.encode(this.domain, StandardCharsets.UTF_8);
		return print(console, client().post(PATH + "/" + escaped + (this.ends ? "/end" : "/begin"), ""));
	}

}
