package samehost;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import rig.Config;
import rig.Rig;

/**
 * An operator sends a configuration in which two routes share host and prefix. Checks
 * whether it is acknowledged, and which service then runs the requests of the first route.
 */
public final class SameHost {

	private SameHost() {
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
		Set<String> ranAtModels = ConcurrentHashMap.newKeySet();
		for (String service : new String[] { "depot", "models" }) {
			rig.addServer("i-" + service, service, 6, (server, socket, request) -> {
				rig.log("server %s of service %s runs %s", server.id, server.service, request.id());
				if (server.service.equals("models")) {
					ranAtModels.add(request.id());
				}
				Rig.write(socket, server.head(request, 200) + "Content-Length: 2\r\n\r\nok");
				return true;
			});
		}
		String first = Config.route("a", "/orders/", "idempotent", "depot", 2_500, 193, 1, false);
		String second = Config.route("b", "/orders/", "idempotent", "models", 2_500, 193, 1, false);
		rig.start(Config.of(1, first));
		int served = send(rig, "before");
		if (served < 30) {
			return 2;
		}
		if (!trouble) {
			rig.log("the case without the invalid configuration: %d of 30 requests served by depot, %d by models", served,
					ranAtModels.size());
			return ranAtModels.isEmpty() ? 0 : 1;
		}
		// The same host and prefix, written alike: every host must refuse it.
		for (Rig.Host host : rig.hosts) {
			Rig.Response alike = host.submit(Config.of(2, first, second), 3_000);
			rig.log("%s, two routes for clock.example/orders/: %s %s", host.ip, alike,
					new String(alike.body, StandardCharsets.UTF_8));
		}
		// The same host, with a capital letter in the second one.
		boolean acknowledged = false;
		for (Rig.Host host : rig.hosts) {
			Rig.Response response = host.submit(Config.of(2, first, second.replace("clock.example", "Clock.example")),
					3_000);
			rig.log("%s, routes for clock.example/orders/ and Clock.example/orders/: %s %s", host.ip, response,
					new String(response.body, StandardCharsets.UTF_8));
			acknowledged |= response.status == 200;
		}
		Thread.sleep(2_500);
		send(rig, "after");
		String readBack = new String(rig.hosts.get(0).readConfiguration(3_000).body, StandardCharsets.UTF_8);
		boolean inForce = readBack.contains("Clock.example");
		rig.log("CONFIG %s: acknowledged %s, read back %s; %d of 30 requests for clock.example ran at models",
				(acknowledged || inForce) ? "broken" : "held", acknowledged, inForce, ranAtModels.size());
		return (acknowledged || inForce) ? 1 : 0;
	}

	private static int send(Rig rig, String phase) throws InterruptedException {
		int served = 0;
		for (int index = 0; index < 30; index++) {
			Rig.Host host = rig.hosts.get(index % rig.hosts.size());
			String id = phase + "-" + index;
			Rig.Response response = Rig.Client.once(host.ip, Rig.FRONTEND,
					Config.head("GET", "/orders/1", id, 2_500) + "\r\n", 2_500);
			rig.log("client sent %s for clock.example/orders/1 to %s: %s", id, host.ip, response);
			served += (response.status == 200) ? 1 : 0;
			Thread.sleep(30);
		}
		return served;
	}

}
