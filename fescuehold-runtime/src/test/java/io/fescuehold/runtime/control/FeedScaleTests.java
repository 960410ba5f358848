package io.fescuehold.runtime.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

import io.fescuehold.config.ShareConfig;
import org.junit.jupiter.api.Test;
import reactor.test.scheduler.VirtualTimeScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against daemons of a large fleet that miss a configuration when sources fail or
 * are cut off from the replicas. Uses virtual time; messages are delivered without delay.
 */
class FeedScaleTests {

	private static final int DAEMON_COUNT = 350;

	private static final int ROOT_COUNT = 7;

	private static final int FAN_OUT = 8;

	private static final int SOURCE_COUNT = 4;

	private static final int SILENT_COUNT = 20;

	private static final List<String> CUT_OFF_ROOTS = List.of("h0", "h1");

	private static final int MAX_START_INTERVAL_MS = 20;

	private static final int SERVER_COUNT = 50;

	private static final int UPDATE_COUNT = 4;

	private static final int STEP_MS = 50;

	private static final int MAX_DELAY_MS = 20_000;

	private final VirtualTimeScheduler time = VirtualTimeScheduler.create();

	private final InMemoryNetwork network = new InMemoryNetwork(this.time);

	private final List<ConfigFeed> feeds = new ArrayList<>();

	@Test
	void newsReachesEveryDaemonWithinTheBoundWhenSourcesFail() {
		Random random = new Random(7);
		for (int i = 0; i < DAEMON_COUNT; i++) {
			ConfigFeed feed = new ConfigFeed("h" + i, this.network.node("h" + i), candidates(i), null, this.time,
					FeedOptions.DEFAULT);
			this.feeds.add(feed);
			feed.start();
			this.time.advanceTimeBy(Duration.ofMillis(random.nextInt(MAX_START_INTERVAL_MS)));
		}
		offer(Configs.servers("tarawera", 1, SERVER_COUNT), 0);
		this.time.advanceTimeBy(Duration.ofSeconds(15));
		assertThat(this.feeds).allMatch((feed) -> feed.current().number("tarawera") == 1);
		Set<Integer> silent = new TreeSet<>();
		while (silent.size() < SILENT_COUNT) {
			silent.add(ROOT_COUNT + random.nextInt(DAEMON_COUNT - ROOT_COUNT));
		}
		silent.forEach((i) -> this.network.silentHosts.add("h" + i));
		// Two roots cannot send requests to any daemon but still answer requests.
		this.network.cutOffHosts.addAll(CUT_OFF_ROOTS);
		long longestMs = 0;
		for (int number = 2; number < 2 + UPDATE_COUNT; number++) {
			offer(Configs.servers("tarawera", number, SERVER_COUNT + number), CUT_OFF_ROOTS.size());
			longestMs = Math.max(longestMs, waitUntilReceivedEverywhere(number, silent));
			this.time.advanceTimeBy(Duration.ofMillis(random.nextInt(5_000)));
		}
		System.out.printf("virtual time until %d daemons have the update, %d silent, 2 of %d roots cut off: %d ms%n",
				DAEMON_COUNT - SILENT_COUNT - CUT_OFF_ROOTS.size(), SILENT_COUNT, ROOT_COUNT, longestMs);
		assertThat(longestMs).isLessThan(MAX_DELAY_MS);
	}

	private long waitUntilReceivedEverywhere(int number, Set<Integer> silent) {
		long elapsedMs = 0;
		while (elapsedMs < MAX_DELAY_MS && !isReceivedEverywhere(number, silent)) {
			this.time.advanceTimeBy(Duration.ofMillis(STEP_MS));
			elapsedMs += STEP_MS;
		}
		return elapsedMs;
	}

	private boolean isReceivedEverywhere(int number, Set<Integer> silent) {
		for (int i = 0; i < DAEMON_COUNT; i++) {
			boolean reachable = !silent.contains(i) && !CUT_OFF_ROOTS.contains("h" + i);
			if (reachable && this.feeds.get(i).current().number("tarawera") < number) {
				return false;
			}
		}
		return true;
	}

	private void offer(ShareConfig config, int firstRoot) {
		this.feeds.subList(firstRoot, ROOT_COUNT).forEach((feed) -> feed.offer(config));
	}

	private static UpstreamCandidates candidates(int index) {
		List<String> hosts = new ArrayList<>();
		if (index >= ROOT_COUNT) {
			int level = ROOT_COUNT;
			int start = 0;
			while (index >= start + level) {
				start += level;
				level *= FAN_OUT;
			}
			int parents = level / FAN_OUT;
			int parent = (index - start) / FAN_OUT;
			for (int i = 0; i < SOURCE_COUNT; i++) {
				hosts.add("h" + (start - parents + (parent + i) % parents));
			}
		}
		else {
			for (int i = 1; i < ROOT_COUNT; i++) {
				hosts.add("h" + (index + i) % ROOT_COUNT);
			}
		}
		return new FixedCandidates(hosts, List.of("h0"));
	}

}
