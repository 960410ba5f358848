package review3.rig;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Properties;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: daemons that are started with the command of the deploy
 * file, a list of servers, and a record of what happens. Closing it ends all processes.
 */
public final class Rig implements AutoCloseable {

	/** Exit code of a case whose rule was broken. */
	public static final int BROKEN = 1;

	/** Exit code of a case that could not run. */
	public static final int CANNOT_RUN = 2;

	private static final Path FOLDER = Path.of("review", "rig3");

	private static final Properties NAMES = names();

	private static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c");

	public final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

	/** All addresses of this run begin with this; the fourth part is free. */
	public final String network;

	public final ServerList list;

	private final Path temporary;

	private final PrintStream record;

	private final long startedNs = System.nanoTime();

	private final List<Process> daemons = new ArrayList<>();

	private final List<String> command;

	private final int size;

	private Rig(Path recordFile, int size) throws IOException {
		this.size = size;
		this.temporary = Files.createTempDirectory("review3-");
		this.record = new PrintStream(Files.newOutputStream(recordFile), true, StandardCharsets.UTF_8);
		this.network = freeNetwork();
		this.list = new ServerList(address(200));
		this.command = command();
		Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
	}

	/**
	 * Starts the daemons and waits until one of them has acknowledged the first configuration.
	 */
	public static Rig start(Path recordFile, int size) throws Exception {
		Rig rig = new Rig(recordFile, size);
		for (int i = 0; i < size; i++) {
			rig.daemons.add(null);
			rig.startDaemon(i, true);
		}
		return rig;
	}

	public static String name(String key) {
		return NAMES.getProperty(key);
	}

	public String address(int host) {
		return this.network + host;
	}

	public String daemon(int index) {
		return address(10 + index);
	}

	public Process process(int index) {
		return this.daemons.get(index);
	}

	public void startDaemon(int index, boolean first) throws IOException {
		Path folder = Files.createDirectories(this.temporary.resolve("daemon-" + index));
		StringBuilder seeds = new StringBuilder("[");
		for (int i = 0; i < Math.min(3, this.size); i++) {
			seeds.append((i > 0) ? ", " : "").append('"').append(daemon(i)).append(":8229\"");
		}
		String settings = Files.readString(FOLDER.resolve("settings.json"))
			.replace("${ip}", daemon(index))
			.replace("${zone}", ZONES.get(index % ZONES.size()))
			.replace("${seeds}", seeds.append(']'))
			.replace("${bootstrap}", String.valueOf(first))
			.replace("${data}", folder.resolve("data").toString())
			.replace("${list}", this.list.address());
		Files.createDirectories(folder.resolve("data"));
		Path file = folder.resolve("settings.json");
		Files.writeString(file, settings);
		ProcessBuilder builder = new ProcessBuilder(this.command);
		builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
		builder.environment().put(name("settings.variable"), file.toString());
		builder.redirectErrorStream(true);
		builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve("log").toFile()));
		this.daemons.set(index, builder.start());
		log("daemon %d started at %s", index, daemon(index));
	}

	/** Starts a daemon again that has ended, as the platform does. */
	public void restartIfEnded(int index) throws IOException {
		Process process = process(index);
		if (!process.isAlive()) {
			log("daemon %d has ended by itself with code %d", index, process.exitValue());
			startDaemon(index, false);
		}
	}

	/** The last lines that a daemon has written. */
	public List<String> lastLines(int index, int count) throws IOException {
		List<String> lines = Files.readAllLines(this.temporary.resolve("daemon-" + index).resolve("log"));
		return lines.subList(Math.max(0, lines.size() - count), lines.size());
	}

	public static String configuration(long version) throws IOException {
		return Files.readString(FOLDER.resolve("configuration.json")).replace("${version}", String.valueOf(version));
	}

	/** Sends a configuration to a daemon once and returns the status, 0 without an answer. */
	public int put(int index, String configuration) {
		return call(HttpRequest.newBuilder(URI.create("http://" + daemon(index) + ":8229" + name("path.put")))
			.header("Content-Type", "application/json")
			.POST(HttpRequest.BodyPublishers.ofString(configuration)));
	}

	/** Sends a configuration until it is acknowledged. */
	public void putUntilAcknowledged(int index, String configuration) throws Exception {
		await(30, "acknowledgement of the configuration", () -> put(index, configuration) == 200);
	}

	/** Waits until a daemon says that it is ready. */
	public void awaitReady(int index) throws Exception {
		await(30, "daemon " + index + " is ready",
				() -> call(HttpRequest.newBuilder(URI.create("http://" + daemon(index) + ":8220" + name("path.ready")))
					.GET()) == 200);
	}

	private static int call(HttpRequest.Builder request) {
		try (HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()) {
			return client.send(request.timeout(Duration.ofSeconds(4)).build(), HttpResponse.BodyHandlers.discarding())
				.statusCode();
		}
		catch (IOException ex) {
			return 0;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return 0;
		}
	}

	public static void await(int seconds, String what, Condition condition) throws Exception {
		long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
		while (!condition.holds()) {
			if (System.nanoTime() > endNs) {
				throw new IOException("not within " + seconds + " s: " + what);
			}
			Thread.sleep(200);
		}
	}

	public void log(String format, Object... arguments) {
		long atMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.startedNs);
		String line = String.format("%7d ms  ", atMs) + String.format(format, arguments);
		this.record.println(line.replace(this.network, "127.x.y."));
	}

	/** Runs a case and exits with its code. */
	public static void run(Path recordFile, int size, Case body) {
		int code = CANNOT_RUN;
		try (Rig rig = start(recordFile, size)) {
			rig.log("disruption %s", rig.trouble ? "on" : "off");
			boolean broken = body.isBroken(rig);
			rig.log("the rule was %s", broken ? "broken" : "kept");
			code = broken ? BROKEN : 0;
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		Runtime.getRuntime().halt(code);
	}

	@Override
	public void close() throws IOException {
		endProcesses();
		this.list.close();
		this.record.close();
		if (System.getenv("KEEP") != null) {
			System.err.println(this.temporary);
			return;
		}
		try (Stream<Path> files = Files.walk(this.temporary)) {
			for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
				Files.deleteIfExists(file);
			}
		}
	}

	private void endProcesses() {
		for (Process process : this.daemons) {
			if (process != null) {
				process.destroyForcibly();
			}
		}
		for (Process process : this.daemons) {
			if (process != null) {
				process.onExit().join();
			}
		}
	}

	// Each run takes a network of its own in 127.0.0.0/8 whose ports are free.
	private static String freeNetwork() throws IOException {
		for (int i = 0; i < 20; i++) {
			ThreadLocalRandom random = ThreadLocalRandom.current();
			String network = "127." + random.nextInt(16, 250) + "." + random.nextInt(1, 250) + ".";
			try (ServerSocket first = new ServerSocket(8227, 1, InetAddress.getByName(network + 10));
					ServerSocket second = new ServerSocket(9464, 1, InetAddress.getByName(network + 10))) {
				return network;
			}
			catch (IOException ex) {
				// Another process uses the ports of this network.
			}
		}
		throw new IOException("no free network");
	}

	private static List<String> command() throws IOException {
		Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy", "system.toml")));
		if (!run.find()) {
			throw new IOException("the deploy file names no command");
		}
		return List.of(run.group(1).split(" "));
	}

	private static Properties names() {
		Properties names = new Properties();
		try (InputStream in = Files.newInputStream(FOLDER.resolve("names.properties"))) {
			names.load(in);
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
		return names;
	}

	/** Something to wait for. */
	public interface Condition {

		boolean holds() throws Exception;

	}

	/** What a case does with the running daemons. */
	public interface Case {

		boolean isBroken(Rig rig) throws Exception;

	}

}
