package io.fescuehold.core.servers;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load: many hosts send short requests to few servers, and know each other's requests
 * late. If they trust what they know, all of them take the server that seemed idle, and
 * requests queue there while the other servers have free slots.
 */
class LateLoadReportsTests {

	private static final int HOSTS = 35;

	private static final int SERVERS = 3;

	private static final int SLOTS = 6;

	private static final double WORK_MS = 43;

	private static final long REPORT_MS = 400;

	private static final double REQUESTS_PER_S = 200;

	private static final int REQUESTS = 4_000;

	private static final double OBJECTIVE_MS = 195;

	private final SplittableRandom random = new SplittableRandom(7);

	/** The times at which the requests of each host at each server end. */
	private final List<List<PriorityQueue<Double>>> ends = new ArrayList<>();

	private final List<List<ServerState>> views = new ArrayList<>();

	/** The requests that went to a server far above the mean of all servers. */
	private int aboveMean;

	private double withinObjective(double usualMs, int domains) {
		List<LeastLoadedSelector> selectors = new ArrayList<>();
		for (int host = 0; host < HOSTS; host++) {
			selectors.add(new LeastLoadedSelector("d" + host % domains, this.random.split()));
			this.views.add(servers());
			List<PriorityQueue<Double>> queues = new ArrayList<>();
			for (int server = 0; server < SERVERS; server++) {
				queues.add(new PriorityQueue<>());
			}
			this.ends.add(queues);
		}
		double[][] slotFreeAtMs = new double[SERVERS][SLOTS];
		double nowMs = 0;
		double reportedAtMs = 0;
		int within = 0;
		for (int request = 0; request < REQUESTS; request++) {
			nowMs += -Math.log(1 - this.random.nextDouble()) * 1_000 / REQUESTS_PER_S;
			endRequests(nowMs);
			if (nowMs - reportedAtMs >= REPORT_MS) {
				reportedAtMs = nowMs;
				report();
			}
			int host = this.random.nextInt(HOSTS);
			ServerState chosen = selectors.get(host).select(this.views.get(host), usualMs, (long) nowMs);
			int server = this.views.get(host).indexOf(chosen);
			this.aboveMean += (total(server) > 2 * meanTotal() + 3) ? 1 : 0;
			Arrays.sort(slotFreeAtMs[server]);
			double startMs = Math.max(nowMs, slotFreeAtMs[server][0]);
			double endMs = startMs + WORK_MS * (0.5 + this.random.nextDouble());
			slotFreeAtMs[server][0] = endMs;
			chosen.begin();
			this.ends.get(host).get(server).add(endMs);
			within += (endMs - nowMs <= OBJECTIVE_MS) ? 1 : 0;
		}
		return within / (double) REQUESTS;
	}

	private void endRequests(double nowMs) {
		for (int host = 0; host < HOSTS; host++) {
			for (int server = 0; server < SERVERS; server++) {
				PriorityQueue<Double> queue = this.ends.get(host).get(server);
				while (!queue.isEmpty() && queue.peek() <= nowMs) {
					queue.poll();
					this.views.get(host).get(server).end();
				}
			}
		}
	}

	private void report() {
		for (int server = 0; server < SERVERS; server++) {
			int index = server;
			int total = total(server);
			this.views.forEach((view) -> view.get(index).setOtherRequests(total - view.get(index).ownRequests()));
		}
	}

	private int total(int server) {
		return this.views.stream().mapToInt((view) -> view.get(server).ownRequests()).sum();
	}

	private double meanTotal() {
		return (total(0) + total(1) + total(2)) / (double) SERVERS;
	}

	private static List<ServerState> servers() {
		ServerTable table = new ServerTable();
		List<BackendServer> list = new ArrayList<>();
		for (int index = 0; index < SERVERS; index++) {
			list.add(new BackendServer("s" + index, "service", "10.0.0." + index + ":80", "d" + index, SLOTS, false,
					"v1"));
		}
		table.update(new ServerList(1, list), 0);
		return table.of("service");
	}

	@Test
	void hostsDoNotAllTakeTheServerThatSeemedIdle() {
		assertThat(withinObjective(WORK_MS, SERVERS)).isGreaterThan(0.99);
	}

	// Two thirds of the hosts have no server of their own domain to prefer.
	@Test
	void hostsOfOtherDomainsSpreadTheirRequests() {
		assertThat(withinObjective(WORK_MS, 3 * SERVERS)).isGreaterThan(0.99);
		assertThat(this.aboveMean).isLessThan(REQUESTS / 1_000);
	}

	@Test
	void trustInLateReportsQueuesRequestsAtOneServer() {
		assertThat(withinObjective(Double.NaN, SERVERS)).as("the load that the weight answers").isLessThan(0.95);
	}

}
