package earlystop;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import rig.Config;
import rig.Rig;
import rig.Wire;

/**
 * Two of four hosts get SIGTERM in turn some seconds after traffic has started, before they
 * have completed a stream. Counts the streams that such a host takes on later than 3 s after
 * its signal and breaks off.
 */
public final class EarlyStop {

	private static final int EVENTS = 60;

	private static final int EVENT_INTERVAL_MS = 100;

	private static final int LIMIT_MS = 15_000;

	/** Some clients keep an answer of the directory for this multiple of its validity. */
	private static final int TTL_FACTOR = 3;

	private static final int USUAL_CLIENTS = 16;

	/** The clients that ask the directory soon after a host has got its signal. */
	private static final int LATE_CLIENTS = 80;

	private static final int ASK_INTERVAL_MS = 4;

	private static final int STOPPED_HOSTS = 2;

	private static final int STOP_GAP_MS = 1_000;

	private static final Pattern ADDRESS = Pattern.compile("\"([0-9.]+):[0-9]+\"");

	private static final Pattern TTL = Pattern.compile("\"" + Wire.get("validity-field") + "\":([0-9.]+)");

	private final AtomicInteger whole = new AtomicInteger();

	private final AtomicInteger refused = new AtomicInteger();

	private final AtomicInteger excused = new AtomicInteger();

	private final AtomicInteger cut = new AtomicInteger();

	/** When each host got its signal, by address. */
	private final Map<String, Long> signalledNs = new ConcurrentHashMap<>();

	private EarlyStop() {
	}

	public static void main(String[] args) throws Exception {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int exit;
		try (Rig rig = new Rig(Path.of(args[0]), 4, 3)) {
			exit = new EarlyStop().run(rig, trouble);
		}
		catch (IllegalStateException ex) {
			System.err.println(ex.getMessage());
			exit = 2;
		}
		System.exit(exit);
	}

	private int run(Rig rig, boolean trouble) throws Exception {
		for (int index = 0; index < 3; index++) {
			rig.addServer("i-" + index, "models", 96, (server, socket, request) -> {
				int from = Integer.parseInt(request.headers.getOrDefault("Last-Event-Id", "0"));
				rig.log("server %s runs %s from event %d", server.id, request.id(), from + 1);
				Rig.write(socket, server.head(request, 200)
						+ "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
				for (int event = from + 1; event <= EVENTS; event++) {
					String text = "id: " + event + "\ndata: piece " + event + "\n\n";
					Rig.write(socket, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
					Thread.sleep(EVENT_INTERVAL_MS);
				}
				Rig.write(socket, "0\r\n\r\n");
				rig.log("server %s has sent all events of %s", server.id, request.id());
				return true;
			});
		}
		rig.start(Config.of(1, Config.route("talk", "/talk/", "streaming", "models", LIMIT_MS, 500, 2, true)));
		Thread.sleep(4_000);
		try (ExecutorService clients = Executors.newVirtualThreadPerTaskExecutor()) {
			for (int index = 0; index < USUAL_CLIENTS; index++) {
				String id = "usual-" + index;
				clients.submit(() -> client(rig, id, 0));
			}
			Thread.sleep(2_000);
			for (int stop = 0; stop < STOPPED_HOSTS; stop++) {
				if (trouble) {
					Rig.Host stopped = rig.hosts.get(stop);
					stopped.signal("TERM");
					this.signalledNs.put(stopped.ip, System.nanoTime());
				}
				long signalNs = System.nanoTime();
				for (int index = 0; index < LATE_CLIENTS; index++) {
					String id = "late-" + stop + "-" + index;
					long askAtNs = signalNs + TimeUnit.MILLISECONDS.toNanos(5L + ASK_INTERVAL_MS * index);
					clients.submit(() -> {
						TimeUnit.NANOSECONDS.sleep(askAtNs - System.nanoTime());
						return client(rig, id, TTL_FACTOR);
					});
				}
				Thread.sleep(STOP_GAP_MS);
			}
		}
		boolean broken = this.cut.get() > 0;
		rig.log("LOST %s: %d streams cut that were sent later than 3 s after SIGTERM, %d cut and excused, %d whole, "
				+ "%d refused", broken ? "broken" : "held", this.cut.get(), this.excused.get(), this.whole.get(),
				this.refused.get());
		if (!broken && this.whole.get() < USUAL_CLIENTS / 2) {
			return 2;
		}
		return broken ? 1 : 0;
	}

	// Asks a host that is not stopped, picks one of the addresses at random and sends one
	// request shortly before it would have to ask again.
	private Void client(Rig rig, String id, int ttlFactor) throws InterruptedException {
		ThreadLocalRandom random = ThreadLocalRandom.current();
		Rig.Host asked = rig.hosts.get(STOPPED_HOSTS + random.nextInt(rig.hosts.size() - STOPPED_HOSTS));
		long askedNs = System.nanoTime();
		Rig.Response directory = asked.get(8224, Wire.get("directory-path") + "?name=clock.example&region=region-1&zone=zone-a", 1_000);
		long answeredNs = System.nanoTime();
		String answer = new String(directory.body, StandardCharsets.UTF_8);
		List<String> addresses = new ArrayList<>();
		for (Matcher matcher = ADDRESS.matcher(answer); matcher.find();) {
			addresses.add(matcher.group(1));
		}
		Matcher ttl = TTL.matcher(answer);
		if (addresses.isEmpty() || !ttl.find()) {
			rig.log("client %s asked %s: %s %s", id, asked.ip, directory, answer);
			return null;
		}
		String ip = addresses.get(random.nextInt(addresses.size()));
		rig.log("client %s asked %s, got %s within %d ms, picks %s", id, asked.ip, answer,
				(answeredNs - askedNs) / 1_000_000, ip);
		long keptNs = (long) (Double.parseDouble(ttl.group(1)) * ttlFactor * 1e9);
		if (keptNs > 0) {
			TimeUnit.NANOSECONDS.sleep(answeredNs + keptNs - TimeUnit.MILLISECONDS.toNanos(10) - System.nanoTime());
		}
		long sentNs = System.nanoTime();
		Rig.Response response = Rig.Client.once(ip, Rig.FRONTEND,
				Config.head("POST", "/talk/1", id, LIMIT_MS) + "Content-Length: 0\r\n\r\n", LIMIT_MS);
		Long signalNs = this.signalledNs.get(ip);
		long afterMs = (signalNs != null) ? (sentNs - signalNs) / 1_000_000 : -1;
		rig.log("client %s sent a request to %s%s: %s, status line %d", id, ip,
				(signalNs != null) ? ", " + afterMs + " ms after its SIGTERM" : "", response, response.begun);
		if (response.status == 200) {
			this.whole.incrementAndGet();
		}
		else if (response.status == 503) {
			this.refused.incrementAndGet();
		}
		else if (response.begun == 200 && afterMs > 3_000) {
			this.cut.incrementAndGet();
		}
		else if (response.begun == 200) {
			this.excused.incrementAndGet();
		}
		return null;
	}

}
