package io.fescuehold.daemon.cli;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;

import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/**
 * Selects and runs the command that the first argument names.
 */
public final class CommandLine {

	private final Map<String, Entry> commands;

	private final Console console;

	private CommandLine(Map<String, Entry> commands, PrintStream out, PrintStream err) {
		this.commands = commands;
		this.console = new Console(out, err);
	}

	/**
	 * Creates the command line of a fleet whose daemons are listed in their settings.
	 * @param out the stream for results
	 * @param err the stream for messages
	 */
	public CommandLine(PrintStream out, PrintStream err) {
		this(commands(), out, err);
	}

	/**
	 * Creates the command line of a gateway fleet.
	 * @param tools the operations that depend on the platform
	 * @param out the stream for results
	 * @param err the stream for messages
	 * @return the command line
	 */
	public static CommandLine ofGateway(GatewayTools tools, PrintStream out, PrintStream err) {
		Map<String, Entry> commands = new TreeMap<>();
		commands.put("check",
				new Entry("check a settings file or a configuration file", () -> new GatewayCheckCommand(tools)));
		commands.put("show",
				new Entry("print the configuration in force", () -> new ReadCommand(tools.configurationPath())));
		commands.put("diff", new Entry("print what differs between two configurations", () -> new DiffCommand(tools)));
		commands.put("preview", new Entry("print what a configuration would change", () -> new PreviewCommand(tools)));
		commands.put("evacuate", new Entry("begin or end the evacuation of a failure domain", EvacuateCommand::new));
		commands.put("dump", new Entry("print the state of a daemon", () -> new ReadCommand("/dump")));
		commands.put("metrics", new Entry("print the metrics of a daemon", () -> new ReadCommand("/metrics")));
		return new CommandLine(commands, out, err);
	}

	private static Map<String, Entry> commands() {
		Map<String, Entry> commands = new TreeMap<>();
		commands.put("daemon", new Entry("run a daemon until it is told to stop", DaemonCommand::new));
		commands.put("check", new Entry("check a settings file or a configuration file", CheckCommand::new));
		commands.put("submit", new Entry("submit a configuration of a share", SubmitCommand::new));
		commands.put("show", new Entry("print the configuration of a share in force", ShowCommand::new));
		commands.put("server", new Entry("declare a backend server joining, active or leaving", ServerCommand::new));
		commands.put("status", new Entry("print which configuration is in force where", StatusCommand::new));
		commands.put("replica", new Entry("replace, add or remove a replica of a share", ReplicaCommand::new));
		commands.put("order", new Entry("send an order to a model server", OrderCommand::new));
		commands.put("drain", new Entry("stop a daemon gracefully", DrainCommand::new));
		commands.put("dump", new Entry("print the state of a daemon", () -> new ReadCommand("/fescuehold/v1/dump")));
		commands.put("metrics",
				new Entry("print the metrics of a daemon", () -> new ReadCommand("/fescuehold/v1/metrics")));
		return commands;
	}

	/**
	 * Runs the program.
	 * @param args the command and its options
	 * @return the exit code
	 */
	public int run(String... args) {
		if (args.length == 0 || "help".equals(args[0]) || "--help".equals(args[0])) {
			printHelp();
			return (args.length == 0) ? ExitCode.USAGE : ExitCode.OK;
		}
		Entry entry = this.commands.get(args[0]);
		if (entry == null) {
			this.console.message("unknown command \"" + args[0] + "\"; use one of " + this.commands.keySet());
			return ExitCode.USAGE;
		}
		return run(entry.create().get(), args[0], Arrays.copyOfRange(args, 1, args.length));
	}

	private int run(Command command, String name, String... options) {
		CmdLineParser parser = new CmdLineParser(command);
		if (options.length == 1 && "--help".equals(options[0])) {
			this.console.err().println("fescuehold " + name + " [options]");
			parser.printUsage(this.console.err());
			return ExitCode.OK;
		}
		try {
			parser.parseArgument(options);
			return command.run(this.console);
		}
		catch (CmdLineException ex) {
			this.console.message(ex.getMessage() + "; run \"fescuehold " + name + " --help\" for the options");
			return ExitCode.USAGE;
		}
		catch (FescueholdException ex) {
			this.console.message(ex.getMessage());
			return (ex.code() == ErrorCode.BAD_SETTING) ? ExitCode.USAGE : ExitCode.REFUSED;
		}
	}

	private void printHelp() {
		this.console.err().println("Usage: fescuehold COMMAND [options]");
		this.commands.forEach((name, entry) -> this.console.err().printf("  %-8s %s%n", name, entry.summary()));
		this.console.err().println("Run \"fescuehold COMMAND --help\" for the options of a command.");
		this.console.err().println("Exit codes: 0 done, 1 refused, 2 wrong arguments or settings, 3 unreachable.");
	}

	private record Entry(String summary, Supplier<Command> create) {

	}

}
