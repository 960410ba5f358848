package io.fescuehold.it.harness;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Starts stand-ins and daemons as processes with the class path of the test, and kills
 * all of them when it is closed or when the virtual machine of the test exits.
 */
public final class ProcessFleet implements AutoCloseable {

	private static final String STANDIN_MAIN = "io.fescuehold.standin.StandinMain";

	private static final String DAEMON_MAIN = "io.fescuehold.daemon.DaemonMain";

	private static final Duration START_TIMEOUT = Duration.ofSeconds(30);

	private static final int LOG_TAIL_LINES = 15;

	private final List<FleetProcess> processes = new CopyOnWriteArrayList<>();

	private final AtomicInteger nextRunNumber = new AtomicInteger();

	private final Thread shutdownHook = new Thread(this::killAll, "end-fleet");

	private final Path folder;

	/**
	 * Creates a fleet without processes.
	 * @param folder the folder for the output and the log of each process
	 */
	public ProcessFleet(Path folder) {
		this.folder = folder;
		Runtime.getRuntime().addShutdownHook(this.shutdownHook);
	}

	/**
	 * Starts a stand-in and waits until it has printed its ports.
	 * @param name the name of the process
	 * @param args the subcommand of the stand-in's command line and its options
	 * @return the process
	 */
	public FleetProcess startStandin(String name, String... args) {
		FleetProcess process = start(name, STANDIN_MAIN, List.of(args));
		awaitReady(process, () -> process.output().contains("\n"));
		return process;
	}

	/**
	 * Starts a daemon and waits until its log says that it is ready.
	 * @param hostId the host id, which names the process
	 * @param settings the settings file
	 * @return the process
	 */
	public FleetProcess startDaemonAndAwaitReady(String hostId, Path settings) {
		FleetProcess process = startDaemon(hostId, settings);
		awaitReady(process);
		return process;
	}

	/**
	 * Starts a daemon without waiting for it, so that several can start in parallel.
	 * @param hostId the host id, which names the process
	 * @param settings the settings file
	 * @return the process
	 */
	public FleetProcess startDaemon(String hostId, Path settings) {
		return start(hostId, DAEMON_MAIN, List.of("daemon", "--settings", settings.toString()));
	}

	/**
	 * Waits until the log of a daemon says that it is ready.
	 * @param daemon the daemon
	 */
	public void awaitReady(FleetProcess daemon) {
		awaitReady(daemon, () -> daemon.log().contains("Daemon " + daemon.name() + " is ready"));
	}

	/**
	 * Runs a command of the daemon program and waits until it exits.
	 * @param timeout the longest time to wait
	 * @param args the command and its options
	 * @return the result
	 */
	public CommandResult command(Duration timeout, String... args) {
		FleetProcess process = start("command-" + args[0], DAEMON_MAIN, List.of(args));
		if (!process.await(timeout)) {
			process.kill();
			throw new AssertionError("Command " + List.of(args) + " did not exit within " + timeout.toMillis() + " ms");
		}
		this.processes.remove(process);
		return new CommandResult(process.exitCode(), process.output(), process.log());
	}

	private FleetProcess start(String name, String mainClass, List<String> args) {
		int runNumber = this.nextRunNumber.incrementAndGet();
		Path output = this.folder.resolve(name + "." + runNumber + ".out");
		Path log = this.folder.resolve(name + "." + runNumber + ".log");
		List<String> command = new ArrayList<>(List.of(java(), "-Xmx96m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1",
				"--enable-native-access=ALL-UNNAMED", "-Dreactor.netty.ioWorkerCount=2", "-cp",
				System.getProperty("java.class.path"), mainClass));
		command.addAll(args);
		try {
			Files.createDirectories(this.folder);
			Process process = new ProcessBuilder(command).redirectOutput(output.toFile())
				.redirectError(log.toFile())
				.start();
			FleetProcess started = new FleetProcess(name, process, output, log);
			this.processes.add(started);
			return started;
		}
		catch (IOException ex) {
			throw new UncheckedIOException("Process " + name + " cannot be started", ex);
		}
	}

	private static String java() {
		return System.getProperty("java.home") + File.separator + "bin" + File.separator + "java";
	}

	private static void awaitReady(FleetProcess process, java.util.concurrent.Callable<Boolean> ready) {
		try {
			Eventually.isTrue("Process " + process.name() + " is ready or has exited", START_TIMEOUT,
					() -> ready.call() || !process.isAlive());
		}
		catch (AssertionError ex) {
			throw new AssertionError(ex.getMessage() + "; its log ends with: " + logTail(process), ex);
		}
		if (!process.isAlive()) {
			throw new AssertionError("Process " + process.name() + " exited with code " + process.exitCode()
					+ "; its log ends with: " + logTail(process));
		}
	}

	/**
	 * Returns the last lines of a process's log.
	 * @param process the process
	 * @return the lines
	 */
	public static String logTail(FleetProcess process) {
		List<String> lines = process.log().lines().toList();
		return String.join("\n", lines.subList(Math.max(0, lines.size() - LOG_TAIL_LINES), lines.size()));
	}

	private void killAll() {
		this.processes.forEach(FleetProcess::kill);
	}

	@Override
	public void close() {
		killAll();
		Runtime.getRuntime().removeShutdownHook(this.shutdownHook);
	}

	/**
	 * The result of a command.
	 *
	 * @param exitCode the exit code
	 * @param output the content of standard output
	 * @param log the content of standard error
	 */
	public record CommandResult(int exitCode, String output, String log) {
	}

}
