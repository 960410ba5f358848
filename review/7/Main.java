package review2.case7;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import review2.rig.Client;
import review2.rig.Http;
import review2.rig.Names;
import review2.rig.Rig;
import review2.rig.Server;

/**
 * An operator sends three invalid configurations, a second apart. Each must be answered
 * with a 4xx and change nothing.
 */
public final class Main {

	/** No configuration holds this key. */
	private static final String UNKNOWN_KEY = "zzzzzzzzzzzzzzzzzzzz";

	private static final long GAP_MS = 1_000;

	/** config_apply_ms and a half second. */
	private static final long APPLIED_MS = 2_500;

	private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

	private final Rig rig;

	private final Set<String> ran = ConcurrentHashMap.newKeySet();

	private int broken;

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
		out.write(Http.bytes(server.signed("200 OK", id) + "Content-Length: 2\r\n\r\nok"));
		return true;
	}

	private static String config(int version) {
		String split = Rig.route("r-split", "/split/", "idempotent", 2_500, 193, "desk", 2, false)
			.replace("\"service\":\"desk\"", "\"split\":[{\"service\":\"desk\",\"weight\":1}]");
		return Rig.config(version, Rig.route("r-look", "/look/", "idempotent", 2_500, 193, "desk", 2, false) + "," + split,
				Rig.service("desk", 0));
	}

	private int run() throws Exception {
		this.rig.addServer("i-p1", "desk", this::answer);
		this.rig.addServer("i-p2", "desk", this::answer);
		this.rig.startDaemons(3);
		if (!this.rig.configure(config(7), 20_000) || !this.rig.awaitServing(request(Rig.newId(), Rig.KEY), 20_000)) {
			this.rig.note("the deployment does not serve");
			return 2;
		}
		if (runsWithUnknownKey("before the changes")) {
			return 2;
		}
		send("tenants that are no list", 9,
				config(9).replaceAll("\"tenants\":\\[.*\\]\\}$", "\"tenants\":\"hule930\"}"));
		Thread.sleep(APPLIED_MS);
		if (runsWithUnknownKey("after the configuration whose tenants cannot be read") && this.trouble) {
			this.broken++;
		}
		send("a route that names an unknown service", 11,
				config(11).replace("\"split\":[", "\"service\":\"nowhere\",\"split\":["));
		Thread.sleep(GAP_MS);
		send("keys that are no list", 13,
				config(13).replaceAll("\"" + Names.KEYS_FIELD + "\":\\[[^\\]]*\\]", "\"" + Names.KEYS_FIELD + "\":\"" + Rig.KEY + "\""));
		Thread.sleep(APPLIED_MS);
		Client.Answer proper = Client.call(this.rig.daemons().get(1).front(), request(Rig.newId(), Rig.KEY), 3_000);
		this.rig.note("a request with the tenant's key: " + proper);
		Client.Answer read = Client.call(this.rig.daemons().get(2).control(),
				Http.bytes("GET " + Names.READ_PATH + " HTTP/1.1\r\nHost: control\r\n\r\n"), 2_000);
		this.rig.note("the configuration read back: " + read + ": "
				+ read.text().substring(0, Math.min(12, read.text().length())));
		this.rig.note("breaks: " + this.broken);
		if (!this.trouble && !proper.served()) {
			return 2;
		}
		return (this.broken > 0) ? 1 : 0;
	}

	private void send(String defect, int version, String invalid) {
		String sent = this.trouble ? invalid : config(version);
		Client.Answer answer = this.rig.put(this.rig.daemons().get(0), sent);
		this.rig.note("configuration " + version + (this.trouble ? " with " + defect : ", valid") + " is answered: "
				+ answer + "; sent: " + sent);
		if (this.trouble && answer.status() == 200) {
			this.broken++;
		}
	}

	private boolean runsWithUnknownKey(String when) {
		int count = 0;
		for (Rig.Daemon daemon : this.rig.daemons()) {
			for (int i = 0; i < 5; i++) {
				String id = Rig.newId();
				Client.Answer answer = Client.call(daemon.front(), request(id, UNKNOWN_KEY), 3_000);
				this.rig.note(when + ", request " + id + " with a key that no configuration held: " + answer + ", run: "
						+ this.ran.contains(id));
				count += this.ran.contains(id) ? 1 : 0;
			}
		}
		return count > 0;
	}

	private static byte[] request(String id, String key) {
		byte[] request = Rig.request("GET", "/look/2f", id, 2_500, "", new byte[0]);
		return Http.bytes(new String(request, java.nio.charset.StandardCharsets.ISO_8859_1).replace(Rig.KEY, key));
	}

}
