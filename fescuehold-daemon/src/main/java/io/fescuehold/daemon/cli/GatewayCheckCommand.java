package io.fescuehold.daemon.cli;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;

import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.routes.RoutingChange;
import io.fescuehold.core.routes.RoutingFinding;
import org.kohsuke.args4j.Option;

/**
 * Checks a settings file or a routing configuration without starting a daemon, and
 * compares a configuration with the one in force. Findings and differences are messages,
 * or parts of the result with {@code --json}.
 */
final class GatewayCheckCommand extends ClientOptions {

	private final GatewayTools tools;

	@Option(name = "--settings", metaVar = "FILE", usage = "settings file of a daemon", forbids = "--config")
	private Path settingsFile;

	@Option(name = "--config", metaVar = "FILE", usage = "configuration file")
	private Path configFile;

	@Option(name = "--against", metaVar = "URL|FILE", depends = "--config",
			usage = "compare with the configuration in force at this address, or in this file")
	private String against;

	@Option(name = "--json", depends = "--config", usage = "print all findings as one JSON object")
	private boolean json;

	@Option(name = "--strict", depends = "--config", usage = "end with exit code 1 after warnings too")
	private boolean strict;

	GatewayCheckCommand(GatewayTools tools) {
		this.tools = tools;
	}

	@Override
	public int run(Console console) {
		if (this.settingsFile != null) {
			console.result(Map.of("ok", true, "settings", this.tools.checkSettings(this.settingsFile)));
			return ExitCode.OK;
		}
		if (this.configFile != null) {
			return checkConfig(console);
		}
		console.message("nothing to check; name a file with --settings or --config");
		return ExitCode.USAGE;
	}

	private int checkConfig(Console console) {
		byte[] submitted = RoutingFiles.bytes(this.configFile);
		RoutingReport report = RoutingReport.of(submitted, this.tools.codec());
		boolean compares = this.against != null && report.config() != null;
		InForce inForce = compares ? compare(report, submitted) : InForce.NOT_ASKED;
		if (this.json) {
			console.result(result(report, inForce));
		}
		else {
			print(console, report, inForce);
		}
		if (report.hasErrors() || inForce.violation() != null) {
			return ExitCode.REFUSED;
		}
		if (inForce.failure() != null) {
			return inForce.failureCode();
		}
		return (this.strict && report.hasWarnings()) ? ExitCode.REFUSED : ExitCode.OK;
	}

	private InForce compare(RoutingReport report, byte[] submitted) {
		try {
			byte[] bytesInForce;
			if (this.against.startsWith("http://") || this.against.startsWith("https://")) {
				AdminClient.Reply reply = client(this.against).get(this.tools.configurationPath());
				if (reply.status() == AdminClient.Reply.UNREACHABLE) {
					return new InForce(null, reply.body(), ExitCode.UNREACHABLE);
				}
				if (!reply.isSuccess()) {
					return new InForce(null, this.against + " has no configuration to compare with; it answered "
							+ reply.status() + " " + reply.body(), ExitCode.REFUSED);
				}
				bytesInForce = reply.body().getBytes(StandardCharsets.UTF_8);
			}
			else {
				bytesInForce = RoutingFiles.bytes(Path.of(this.against));
			}
			return new InForce(report.compare(submitted, bytesInForce, this.tools.codec()), null, ExitCode.OK);
		}
		catch (FescueholdException ex) {
			return new InForce(null, "no comparison with " + this.against + ": " + ex.getMessage(),
					(ex.code() == ErrorCode.BAD_SETTING) ? ExitCode.USAGE : ExitCode.REFUSED);
		}
	}

	private static Map<String, Object> result(RoutingReport report, InForce inForce) {
		Map<String, Object> result = report.summary();
		result.put("ok", !report.hasErrors() && inForce.violation() == null);
		result.put("findings", report.findingsAsJson(inForce.violation()));
		RoutingReport.Comparison comparison = inForce.comparison();
		if (comparison != null) {
			result.put("numberInForce", comparison.numberInForce());
			result.put("takesEffect", comparison.takesEffect());
			result.put("outcome", comparison.outcome());
			result.put("changes", comparison.changes());
		}
		if (inForce.failure() != null) {
			result.put("comparisonFailure", inForce.failure());
		}
		return result;
	}

	private static void print(Console console, RoutingReport report, InForce inForce) {
		if (!report.hasErrors()) {
			console.result(report.summary());
		}
		if (report.undecodable() != null) {
			console.message("error: " + report.undecodable());
		}
		for (RoutingFinding finding : report.findings()) {
			console.message(
					((finding.severity() == RoutingFinding.Severity.ERROR) ? "error: " : "warning: ") + finding.text());
		}
		if (inForce.violation() != null) {
			console.message("error: " + inForce.violation().text());
		}
		if (inForce.failure() != null) {
			console.message(inForce.failure());
		}
		RoutingReport.Comparison comparison = inForce.comparison();
		if (comparison != null) {
			console.message(comparison.effect());
			comparison.changes().forEach((change) -> console.message("differs: " + text(change)));
		}
	}

	private static String text(RoutingChange change) {
		if (change.field() != null) {
			return change.place() + " " + change.field() + ": " + change.before() + " -> " + change.after();
		}
		return change.place()
				+ ((change.before() == null) ? " added: " + change.after() : " removed: " + change.before());
	}

	/**
	 * The comparison with the configuration in force, or why there is none.
	 *
	 * @param comparison the comparison, or null
	 * @param failure why the configuration in force could not be read, or null
	 * @param failureCode the exit code after the failure
	 */
	private record InForce(RoutingReport.Comparison comparison, String failure, int failureCode) {

		static final InForce NOT_ASKED = new InForce(null, null, ExitCode.OK);

		RoutingFinding violation() {
			return (this.comparison != null) ? this.comparison.violation() : null;
		}

	}

}
