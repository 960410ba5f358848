package review2.case6;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

import review2.rig.Client;
import review2.rig.Http;
import review2.rig.Names;
import review2.rig.Rig;
import review2.rig.Server;

/**
 * One of three model servers spoils 2 in 100 of its answers for 5.5 s: the answer has lost
 * the server's stamp and has another status. Clients must not get it as an answer.
 */
public final class Main {

	private static final int CLIENTS = 12;

	private static final long TROUBLE_MS = 5_500;

	/** One of this many answers is spoilt. */
	private static final int SPOILT_ONE_OF = 50;

	private static final int EVENTS = 6;

	private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

	private final Rig rig;

	private final Set<String> ran = ConcurrentHashMap.newKeySet();

	private final AtomicInteger answersOfFaulty = new AtomicInteger();

	private final AtomicInteger spoilt = new AtomicInteger();

	private final AtomicInteger served = new AtomicInteger();

	private final AtomicInteger failed = new AtomicInteger();

	private final AtomicInteger unstamped = new AtomicInteger();

	private final AtomicInteger falsePromises = new AtomicInteger();

	private volatile boolean spoils;

	private Main(Rig rig) {
		this.rig = rig;
	}

	public static void main(String[] args) {
		int code;
		try (Rig rig = new Rig(Path.of(args[0]))) {
			code = new Main(rig).run();
			rig.note("exit code " + code);
		}
		catch (Exception ex) {
			ex.printStackTrace();
			code = 2;
		}
		System.exit(code);
	}

	private boolean answer(Server server, Http.Head head, byte[] body, OutputStream out) throws IOException {
		String id = head.field(Names.ID);
		this.ran.add(id);
		if (server.id.equals("i-m1") && this.spoils && this.answersOfFaulty.incrementAndGet() % SPOILT_ONE_OF == 0) {
			boolean success = this.spoilt.getAndIncrement() % 2 == 0;
			String status = success ? "202 Accepted" : "503 Service Unavailable";
			this.rig.note("server " + server.id + " runs request " + id + " and spoils its answer: status " + status
					+ ", no stamp");
			out.write(Http.bytes("HTTP/1.1 " + status + "\r\nFescuehold-Attempt-Id: " + id
					+ "\r\nContent-Length: 6\r\n\r\nspoilt"));
			return true;
		}
		StringBuilder answer = new StringBuilder(server.signed("200 OK", id))
			.append("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
		for (int i = 1; i <= EVENTS; i++) {
			String event = "id: " + i + "\ndata: " + id + " " + i + "\n\n";
			answer.append(Integer.toHexString(event.length())).append("\r\n").append(event).append("\r\n");
		}
		out.write(Http.bytes(answer.append("0\r\n\r\n").toString()));
		return true;
	}

	private int run() throws Exception {
		for (int i = 1; i <= 3; i++) {
			this.rig.addServer("i-m" + i, "llm", this::answer);
		}
		this.rig.startDaemons(3);
		String config = Rig.config(7, Rig.route("r-brief", "/brief/", "streaming", 4_000, 600, "llm", 1, false),
				Rig.service("llm", 96));
		if (!this.rig.configure(config, 20_000) || !this.rig.awaitServing(request(Rig.newId()), 20_000)) {
			this.rig.note("the deployment does not serve");
			return 2;
		}
		this.spoils = this.trouble;
		long endNs = System.nanoTime() + TROUBLE_MS * 1_000_000;
		try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
			List<Future<?>> clients = new ArrayList<>();
			for (int i = 0; i < CLIENTS; i++) {
				String front = this.rig.daemons().get(i % 3).front();
				clients.add(threads.submit(() -> callUntil(front, endNs)));
			}
			for (Future<?> client : clients) {
				client.get();
			}
		}
		this.rig.note("served " + this.served + ", failed " + this.failed + ", answers of the faulty server "
				+ this.answersOfFaulty + ", spoilt " + this.spoilt + "; successes without a stamp (MIXED) "
				+ this.unstamped + ", 429 or 503 for requests that ran (REFUSED) " + this.falsePromises);
		if (this.served.get() == 0 || this.trouble && this.spoilt.get() < 2) {
			return 2;
		}
		return (this.unstamped.get() + this.falsePromises.get() > 0) ? 1 : 0;
	}

	private Void callUntil(String front, long endNs) throws Exception {
		Client client = new Client(front, 6_000);
		while (System.nanoTime() < endNs) {
			String id = Rig.newId();
			client.send(request(id));
			Client.Answer answer = client.read();
			judge(id, answer);
			if (!answer.complete() || "close".equalsIgnoreCase(answer.head().field("connection"))) {
				client.close();
				client = new Client(front, 6_000);
			}
			Thread.sleep(10);
		}
		client.close();
		return null;
	}

	private void judge(String id, Client.Answer answer) {
		if (answer.served()) {
			this.served.incrementAndGet();
			return;
		}
		this.failed.incrementAndGet();
		this.rig.note("request " + id + ", run by a server: " + this.ran.contains(id) + ", the client gets: " + answer);
		if (answer.complete() && answer.status() / 100 == 2) {
			this.unstamped.incrementAndGet();
		}
		if (answer.complete() && (answer.status() == 429 || answer.status() == 503) && this.ran.contains(id)) {
			this.falsePromises.incrementAndGet();
		}
	}

	private static byte[] request(String id) {
		String shared = Integer.toHexString(0x5c1e0000 + ThreadLocalRandom.current().nextInt(24));
		return Rig.request("POST", "/brief/2f", id, 4_000, Rig.prompt(shared, id), "{}".getBytes());
	}

}
