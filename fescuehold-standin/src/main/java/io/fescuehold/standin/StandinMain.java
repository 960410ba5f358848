package io.fescuehold.standin;

import java.nio.charset.StandardCharsets;
import java.util.Map;

import io.fescuehold.standin.http.JsonHttp;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/**
 * Runs one stand-in until the process is stopped. The first line on standard output is a
 * JSON object with the bound ports by name.
 */
public final class StandinMain {

	private static final int USAGE_ERROR = 2;

	@Argument(required = true, metaVar = "model-server|service|host-list|weight-store|proxy",
			handler = SubCommandHandler.class)
	@SubCommands({ @SubCommand(name = "model-server", impl = ModelServerCommand.class),
			@SubCommand(name = "service", impl = ServiceCommand.class),
			@SubCommand(name = "host-list", impl = HostListCommand.class),
			@SubCommand(name = "weight-store", impl = WeightStoreCommand.class),
			@SubCommand(name = "proxy", impl = ProxyCommand.class) })
	private StandinCommand command;

	private StandinMain() {
	}

	/**
	 * Runs a stand-in.
	 * @param args the subcommand and its options
	 * @throws InterruptedException if the process is being stopped
	 */
	public static void main(String[] args) throws InterruptedException {
		StandinMain main = new StandinMain();
		CmdLineParser parser = new CmdLineParser(main);
		Map<String, Integer> ports;
		try {
			parser.parseArgument(args);
			ports = main.command.start();
		}
		catch (CmdLineException | IllegalArgumentException ex) {
			System.err.println(ex.getMessage());
			parser.printUsage(System.err);
			System.exit(USAGE_ERROR);
			return;
		}
		System.out.println(new String(JsonHttp.print(ports), StandardCharsets.UTF_8));
		Thread.currentThread().join();
	}

}
