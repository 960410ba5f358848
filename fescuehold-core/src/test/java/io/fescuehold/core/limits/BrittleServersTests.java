package io.fescuehold.core.limits;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import io.fescuehold.core.servers.BackendServer;
import io.fescuehold.core.servers.ServerState;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Plays brittle servers, which run a few requests, let none wait and fail if they have to
 * reject too many in a second, behind hosts that learn each other's load and rejections
 * late.
 */
class BrittleServersTests {

	private static final int SERVERS = 8;

	private static final int SLOTS = 16;

	private static final long SERVICE_MS = 400;

	private static final long LOAD_DELAY_MS = 400;

	private static final long GOSSIP_MS = 150;

	private static final long DURATION_MS = 30_000;

	/** The time from the first word of a server to the moment at which none may wait. */
	private static final long NOTICE_MS = 3_000;

	private static final int BEARABLE_REJECTIONS_PER_S = 6;

	// Guards against servers that fall over because they have no room for what the hosts
	// together send (LIMIT of brittle servers).
	@ParameterizedTest
	@CsvSource({ "4, 1.6, 1", "7, 1.6, 2", "40, 1.6, 3", "7, 3.0, 4", "40, 3.0, 5" })
	void serversBearTheRejectionsOfAnOverload(int hosts, double overload, int seed) {
		Play play = new Play(hosts, overload, seed);
		play.run();
		assertThat(play.falls).as("servers that fell over").isLessThanOrEqualTo(2 + SERVERS / 10);
		assertThat(play.served).as("served of %d", play.asked)
			.isGreaterThan((long) (0.5 * SERVERS * SLOTS * DURATION_MS / SERVICE_MS));
	}

	private static final class Play {

		private final int hosts;

		private final double requestsPerMs;

		private final SplittableRandom random;

		private final List<ServerRequestLimits> limits = new ArrayList<>();

		private final List<List<ServerState>> views = new ArrayList<>();

		private final List<Deque<long[]>> running = new ArrayList<>();

		private final List<Deque<Long>> rejections = new ArrayList<>();

		private int falls;

		private long served;

		private long asked;

		Play(int hosts, double overload, int seed) {
			this.hosts = hosts;
			this.requestsPerMs = overload * SERVERS * SLOTS / SERVICE_MS;
			this.random = new SplittableRandom(seed);
			for (int host = 0; host < hosts; host++) {
				this.limits.add(new ServerRequestLimits(this.random.split()));
				this.views.add(IntStream.range(0, SERVERS)
					.mapToObj((server) -> ServerState
						.unlisted(new BackendServer(id(server), "model", "10.0.0.1:80", "z", SLOTS, false, "v1")))
					.toList());
			}
			for (int server = 0; server < SERVERS; server++) {
				this.running.add(new ArrayDeque<>());
				this.rejections.add(new ArrayDeque<>());
			}
		}

		void run() {
			for (long nowMs = 0; nowMs < DURATION_MS; nowMs++) {
				complete(nowMs);
				if (nowMs % LOAD_DELAY_MS == 0) {
					reportLoads();
				}
				if (nowMs % GOSSIP_MS == 0) {
					gossip(nowMs);
				}
				double arrivals = this.requestsPerMs;
				while (arrivals > 0 && this.random.nextDouble() < arrivals) {
					arrive(this.random.nextInt(this.hosts), nowMs);
					arrivals--;
				}
			}
		}

		private void complete(long nowMs) {
			for (int server = 0; server < SERVERS; server++) {
				Deque<long[]> requests = this.running.get(server);
				while (!requests.isEmpty() && requests.peek()[0] <= nowMs) {
					int host = (int) requests.poll()[1];
					this.views.get(host).get(server).end();
					this.limits.get(host).recordBrittle(id(server), BEARABLE_REJECTIONS_PER_S, false, nowMs);
					this.served++;
				}
			}
		}

		private void reportLoads() {
			for (int server = 0; server < SERVERS; server++) {
				int index = server;
				int load = this.views.stream().mapToInt((view) -> view.get(index).ownRequests()).sum();
				this.views.forEach((view) -> view.get(index).setOtherRequests(load - view.get(index).ownRequests()));
			}
		}

		private void gossip(long nowMs) {
			for (ServerRequestLimits from : this.limits) {
				List<RequestLimitUpdate> updates = from.updatesSince(0, nowMs);
				this.limits.forEach((to) -> to.merge(updates, nowMs));
			}
		}

		// Each request is tried at two servers, like one that is retried after a
		// rejection.
		private void arrive(int host, long nowMs) {
			this.asked++;
			int first = this.random.nextInt(SERVERS);
			int tries = 0;
			for (int step = 0; step < SERVERS && tries < 2; step++) {
				int server = (first + step) % SERVERS;
				ServerRequestLimits own = this.limits.get(host);
				if (own.hasRoom(this.views.get(host).get(server), 1.0 / this.hosts, nowMs)
						&& own.isAllowed(id(server), 1.0 / this.hosts, nowMs)) {
					own.consume(id(server));
					tries++;
					if (send(host, server, nowMs)) {
						return;
					}
				}
			}
		}

		private boolean send(int host, int server, long nowMs) {
			Deque<long[]> requests = this.running.get(server);
			if (requests.size() < SLOTS || nowMs < NOTICE_MS) {
				requests.add(new long[] { nowMs + SERVICE_MS, host });
				this.views.get(host).get(server).begin();
				return true;
			}
			this.limits.get(host).recordBrittle(id(server), BEARABLE_REJECTIONS_PER_S, true, nowMs);
			Deque<Long> recent = this.rejections.get(server);
			recent.add(nowMs);
			while (recent.peek() <= nowMs - 1_000) {
				recent.poll();
			}
			if (recent.size() > BEARABLE_REJECTIONS_PER_S) {
				this.falls++;
				recent.clear();
			}
			return false;
		}

		private static String id(int server) {
			return "i-" + server;
		}

	}

}
