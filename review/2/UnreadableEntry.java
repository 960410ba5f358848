package unreadableentry;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

import rig.Config;
import rig.Rig;

/**
 * One entry of the list of servers cannot be read; then all processes are killed and start
 * again. Counts how many requests are served afterwards.
 */
public final class UnreadableEntry {

	/** The bound of rule RECOVER in the settings, in milliseconds. */
	private static final int RECOVERY_MS = 12_000;

	/** The closing brace of the entry is missing. */
	private static final String UNREADABLE = "{\"id\":\"i-9\",\"service\":\"depot\",\"address\":\"127.0.0.9:9\"";

	private UnreadableEntry() {
	}

	public static void main(String[] args) throws Exception {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int exit;
		try (Rig rig = new Rig(Path.of(args[0]), 3, 3)) {
			exit = run(rig, trouble);
		}
		catch (IllegalStateException ex) {
			System.err.println(ex.getMessage());
			exit = 2;
		}
		System.exit(exit);
	}

	private static int run(Rig rig, boolean trouble) throws Exception {
		for (int index = 0; index < 3; index++) {
			rig.addServer("i-" + index, "depot", 6, (server, socket, request) -> {
				rig.log("server %s runs %s", server.id, request.id());
				Thread.sleep(40);
				Rig.write(socket, server.head(request, 200) + "Content-Length: 2\r\n\r\nok");
				return true;
			});
		}
		rig.start(Config.of(1, Config.route("orders", "/orders/", "non_idempotent", "depot", 2_500, 193, 1, false)));
		int before = served(rig, "before");
		if (before < 15) {
			rig.log("%d of 60 requests were served before the disruption; the case could not run", before);
			return 2;
		}
		if (trouble) {
			rig.unreadableEntry = UNREADABLE;
			rig.log("from now on the list has one more entry: %s", UNREADABLE);
		}
		Thread.sleep(3_000);
		served(rig, "with the list as it is");
		// The final fault strikes right after a change was acknowledged.
		rig.awaitAccepted(Config.of(2, Config.route("orders", "/orders/", "non_idempotent", "depot", 2_400, 193, 1, false)),
				5_000);
		for (Rig.Host host : rig.hosts) {
			host.signal("KILL");
		}
		Thread.sleep(600);
		for (Rig.Host host : rig.hosts) {
			host.start(false);
		}
		rig.log("all processes are back");
		Thread.sleep(RECOVERY_MS);
		for (Rig.Host host : rig.hosts) {
			rig.log("host %s says ready: %s", host.ip, host.isReady());
		}
		int after = served(rig, "later than recovery_s");
		boolean broken = after < 15;
		rig.log("RECOVER %s: %d of 60 requests served before, %d of 60 after", broken ? "broken" : "held", before, after);
		return broken ? 1 : 0;
	}

	private static int served(Rig rig, String phase) throws InterruptedException {
		int served = 0;
		Rig.Response last = null;
		for (int index = 0; index < 60; index++) {
			Rig.Host host = rig.hosts.get(index % rig.hosts.size());
			String id = phase.replace(' ', '-') + "-" + index;
			last = Rig.Client.once(host.ip, Rig.FRONTEND,
					Config.head("POST", "/orders/1", id, 2_500) + "Content-Length: 0\r\n\r\n", 2_500);
			rig.log("client sent %s to %s: %s %s", id, host.ip, last, new String(last.body, StandardCharsets.UTF_8));
			if (last.status == 200) {
				served++;
			}
			Thread.sleep(50);
		}
		rig.log("%s: %d of 60 requests served, the last one: %s", phase, served, last);
		return served;
	}

}
