package review3.rig;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * The platform's list of servers, on one page.
 */
public final class ServerList implements AutoCloseable {

	private final List<String> entries = new CopyOnWriteArrayList<>();

	private final HttpServer server;

	ServerList(String ip) throws IOException {
		this.server = HttpServer.create(new InetSocketAddress(ip, 0), 16);
		this.server.createContext(Rig.name("path.list"), (exchange) -> {
			byte[] body = ("{\"instances\":[" + String.join(",", this.entries) + "],\"next\":null}")
				.getBytes(StandardCharsets.UTF_8);
			exchange.getResponseHeaders().set("Content-Type", "application/json");
			exchange.sendResponseHeaders(200, body.length);
			exchange.getResponseBody().write(body);
			exchange.close();
		});
		this.server.start();
	}

	String address() {
		return this.server.getAddress().getHostString() + ":" + this.server.getAddress().getPort();
	}

	public void add(Server server, String service, String zone, int slots) {
		this.entries.add(String.format("{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\","
				+ "\"slots\":%d,\"state\":\"ready\",\"cold_remaining_ms\":0,\"id\":\"%s\"}", service, server.address(),
				zone, slots, server.id()));
	}

	/** Adds an entry without slots and software version, whose cold time is no number. */
	public void addOfOtherWriter(Server server, String service, String zone) {
		this.entries.add(String.format("{\"id\":\"%s\",\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
				+ "\"state\":\"ready\",\"cold_remaining_ms\":\"none\"}", server.id(), service, server.address(), zone));
	}

	@Override
	public void close() {
		this.server.stop(0);
	}

}
