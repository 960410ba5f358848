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
 * are cut off from the replicas. Time is virtual and messages take no time.
 */
class FeedScaleTests {

	private static final int DAEMONS = 350;

	private static final int ROOTS = 7;

	private static final int FAN_OUT = 8;

	private static final int SOURCES = 4;

	private static final int SILENT = 20;

	private static final List<String> CUT_OFF = List.of("h0", "h1");

	private static final int MAX_START_GAP_MS = 20;

	private static final int SERVERS = 50;

	private static final int NEWS = 4;

	private static final int STEP_MS = 50;

	private static final int BOUND_MS = 20_000;

	private final VirtualTimeScheduler time = VirtualTimeScheduler.create();

	private final InMemoryNetwork network = new InMemoryNetwork(this.time);

	private final List<ConfigFeed> feeds = new ArrayList<>();

	@Test
	void newsReachesEveryDaemonWithinTheBoundWhenSourcesFail() {
		Random random = new Random(7);
		for (int i = 0; i < DAEMONS; i++) {
			ConfigFeed feed = new ConfigFeed("h" + i, this.network.node("h" + i), candidates(i), null, this.time,
					FeedOptions.DEFAULT);
			this.feeds.add(feed);
			feed.start();
			this.time.advanceTimeBy(Duration.ofMillis(random.nextInt(MAX_START_GAP_MS)));
		}
		offer(Configs.servers("tarawera", 1, SERVERS), 0);
		this.time.advanceTimeBy(Duration.ofSeconds(15));
		assertThat(this.feeds).allMatch((feed) -> feed.current().number("tarawera") == 1);
		Set<Integer> silent = new TreeSet<>();
		while (silent.size() < SILENT) {
			silent.add(ROOTS + random.nextInt(DAEMONS - ROOTS));
		}
		silent.forEach((i) -> this.network.silent.add("h" + i));
		// Two roots cannot reach any daemon but still answer.
		this.network.cutOff.addAll(CUT_OFF);
		long longestMs = 0;
		for (int news = 2; news < 2 + NEWS; news++) {
			offer(Configs.servers("tarawera", news, SERVERS + news), CUT_OFF.size());
			longestMs = Math.max(longestMs, waitUntilEverywhere(news, silent));
			this.time.advanceTimeBy(Duration.ofMillis(random.nextInt(5_000)));
		}
		System.out.printf("virtual time until %d daemons have the news, %d silent, 2 of %d roots cut off: %d ms%n",
				DAEMONS - SILENT - CUT_OFF.size(), SILENT, ROOTS, longestMs);
		assertThat(longestMs).isLessThan(BOUND_MS);
	}

	private long waitUntilEverywhere(int number, Set<Integer> silent) {
		long elapsedMs = 0;
		while (elapsedMs < BOUND_MS && !isEverywhere(number, silent)) {
			this.time.advanceTimeBy(Duration.ofMillis(STEP_MS));
			elapsedMs += STEP_MS;
		}
		return elapsedMs;
	}

	private boolean isEverywhere(int number, Set<Integer> silent) {
		for (int i = 0; i < DAEMONS; i++) {
			boolean reachable = !silent.contains(i) && !CUT_OFF.contains("h" + i);
			if (reachable && this.feeds.get(i).current().number("tarawera") < number) {
				return false;
			}
		}
		return true;
	}

	private void offer(ShareConfig config, int firstRoot) {
		this.feeds.subList(firstRoot, ROOTS).forEach((feed) -> feed.offer(config));
	}

	private static UpstreamCandidates candidates(int index) {
		List<String> hosts = new ArrayList<>();
		if (index >= ROOTS) {
			int level = ROOTS;
			int start = 0;
			while (index >= start + level) {
				start += level;
				level *= FAN_OUT;
			}
			int parents = level / FAN_OUT;
			int parent = (index - start) / FAN_OUT;
			for (int i = 0; i < SOURCES; i++) {
				hosts.add("h" + (start - parents + (parent + i) % parents));
			}
		}
		else {
			for (int i = 1; i < ROOTS; i++) {
				hosts.add("h" + (index + i) % ROOTS);
			}
		}
		return new FixedCandidates(hosts, List.of("h0"));
	}

}
