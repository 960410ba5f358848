package io.fescuehold.bench.quickstart;

import java.io.IOException;
import java.nio.file.Path;

import io.fescuehold.bench.CommandArguments;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/**
 * The two steps of the quick start that its script runs: {@code prepare} writes the
 * settings of the fleet, {@code drive} sends requests through the running fleet.
 */
public final class QuickStartMain {

	@Argument(required = true, metaVar = "prepare|drive", usage = "the step")
	private String step;

	@Option(name = "--deployment", usage = "tarawera or fiji")
	private String deployment = "tarawera";

	@Option(name = "--folder", required = true, usage = "folder of the fleet's files")
	private Path folder;

	@Option(name = "--kill-pid", usage = "process id of a router to kill while requests are running")
	private long killPid;

	private QuickStartMain() {
	}

	/**
	 * Runs a step.
	 * @param args the step and its options
	 * @throws IOException if a file cannot be read or written
	 */
	public static void main(String[] args) throws IOException {
		QuickStartMain main = new QuickStartMain();
		CommandArguments.parse(main, args);
		System.exit(main.run());
	}

	private int run() throws IOException {
		Deployment selected = Deployment.named(this.deployment);
		return switch (this.step) {
			case "prepare" -> {
				new FleetFiles(this.folder, selected).write();
				yield 0;
			}
			case "drive" -> new QuickStart(this.folder, selected, this.killPid).run();
			default ->
				throw new IllegalArgumentException("Step \"" + this.step + "\" does not exist; use prepare or drive");
		};
	}

}
