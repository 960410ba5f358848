package review3.case13;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import review3.rig.Client;
import review3.rig.Message;
import review3.rig.Rig;
import review3.rig.Server;

/**
 * One of seven servers fails two of five orders: it runs them, and then answers with a signed 503
 * that does not state that the order was not run.
 */
public final class Case13 {

	private static final int SERVERS = 7;

	private static final int ORDERS = 210;

	/** The failing server fails this many of five requests. */
	private static final int FAILURES_OF_FIVE = 2;

	private static final int CALLERS = 14;

	private static final int WORK_MS = 43;

	private static final AtomicInteger BROKEN = new AtomicInteger();

	private static final AtomicInteger TWICE = new AtomicInteger();

	private static final Set<String> RUN = ConcurrentHashMap.newKeySet();

	private static final AtomicInteger AT_FAILING_SERVER = new AtomicInteger();

	private static boolean trouble;

	private Case13() {
	}

	public static void main(String[] args) {
		Rig.run(Path.of(args[0]), 3, Case13::isBroken);
	}

	private static boolean isBroken(Rig rig) throws Exception {
		trouble = rig.trouble;
		for (int i = 0; i < SERVERS; i++) {
			Server.Handler handler = (i == 0) ? (request, connection, out) -> failSome(rig, request, out)
					: (request, connection, out) -> run(rig, request, out, "200 OK");
			rig.list.add(new Server(rig.address(101 + i), "i-desk-" + i, handler), "desk", "zone-a", 6);
		}
		rig.putUntilAcknowledged(0, Rig.configuration(1));
		rig.awaitReady(2);
		Rig.await(20, "the daemon serves",
				() -> Client.call(rig.daemon(2), "POST", "/book/first", "first", "x").status() == 200);
		List<Thread> callers = new ArrayList<>();
		for (int i = 0; i < CALLERS; i++) {
			int first = i;
			callers.add(Thread.ofVirtual().start(() -> order(rig, first)));
		}
		for (Thread caller : callers) {
			caller.join();
		}
		rig.log("%d of %d orders were answered as not run and have run (the rule allows none); %d orders ran twice, "
				+ "because their callers relied on that and asked again", BROKEN.get(), ORDERS, TWICE.get());
		return BROKEN.get() > 0;
	}

	private static void order(Rig rig, int first) {
		for (int i = first; i < ORDERS; i += CALLERS) {
			String id = "order-" + i;
			try {
				if (isRefused(rig, id) && RUN.contains(id)) {
					BROKEN.incrementAndGet();
					// As the pages say, a caller asks again only after such a promise.
					isRefused(rig, id + "-again");
					TWICE.addAndGet(RUN.contains(id + "-again") ? 1 : 0);
				}
			}
			catch (IOException ex) {
				rig.log("client: order %s has no answer: %s", id, ex.getMessage());
			}
		}
	}

	private static boolean isRefused(Rig rig, String id) throws IOException {
		Message response = Client.call(rig.daemon(2), "POST", "/book/seat", id, "a seat");
		rig.log("client: order %s is answered with %d", id, response.status());
		return switch (response.status()) {
			case 408, 421, 429, 503 -> true;
			default -> false;
		};
	}

	private static void failSome(Rig rig, Message request, OutputStream out) throws IOException {
		boolean fails = trouble && !request.path().endsWith("first") && AT_FAILING_SERVER.getAndIncrement() % 5 < FAILURES_OF_FIVE;
		run(rig, request, out, fails ? "503 Service Unavailable" : "200 OK");
	}

	private static void run(Rig rig, Message request, OutputStream out, String status) throws IOException {
		String id = request.header("header.id");
		RUN.add(id);
		try {
			Thread.sleep(WORK_MS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		rig.log("server %s: runs order %s, answers %s", request.header("header.expected"), id, status);
		Server.write(out, Server.signedHead(request, status) + "Content-Length: 6\r\n\r\nseat 1");
	}

}
