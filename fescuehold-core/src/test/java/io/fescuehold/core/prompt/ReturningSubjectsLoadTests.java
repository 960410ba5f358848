package io.fescuehold.core.prompt;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import io.fescuehold.core.servers.BackendServer;
import io.fescuehold.core.servers.ServerList;
import io.fescuehold.core.servers.ServerState;
import io.fescuehold.core.servers.ServerTable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The pattern: subjects return again and again, each time at any of several daemons,
 * while servers come and go and some homes are too busy. A subject that a live server has
 * read is copied from there and not read again.
 */
class ReturningSubjectsLoadTests {

	private static final int DAEMONS = 7;

	private static final int SERVERS = 13;

	private static final int SUBJECTS = 150;

	private static final int REQUESTS_PER_S = 60;

	private static final long END_MS = 30_000;

	private static final long JOIN_MS = 10_000;

	private static final long LEAVE_MS = 20_000;

	private static final int JOINING = 3;

	private static final long EXCHANGE_MS = 350;

	private static final int COMMON_TOKENS = 600;

	private static final int SUBJECT_TOKENS = 2_000;

	/** Every daemon has heard of a part after its sender and itself have asked. */
	private static final long KNOWN_MS = 2 * EXCHANGE_MS;

	private final List<ServerTable> tables = new ArrayList<>();

	private final List<PartHolders> holders = new ArrayList<>();

	private final List<EnginePlacement> placements = new ArrayList<>();

	private final PartNews news = new PartNews(1_000, 2_000);

	private final Map<String, Map<String, Long>> readMsByServer = new HashMap<>();

	private long asked;

	private long readAgain;

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3 })
	void partsOfLiveServersAreCopiedAndNotReadAgain(long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		start();
		for (long now = 0; now < END_MS; now++) {
			if (now == JOIN_MS) {
				list(0, SERVERS + JOINING);
			}
			if (now == LEAVE_MS) {
				list(2, SERVERS + JOINING);
			}
			exchange(now);
			if (random.nextInt(1_000) < REQUESTS_PER_S) {
				send(now, random);
			}
		}
		assertThat(this.readAgain).as("tokens read again although a live server held them, of %d asked", this.asked)
			.isZero();
	}

	private void start() {
		for (int daemon = 0; daemon < DAEMONS; daemon++) {
			this.tables.add(new ServerTable());
			this.holders.add(new PartHolders(8_192, 120_000));
			this.placements.add(new EnginePlacement(this.holders.getLast()));
		}
		list(0, SERVERS);
	}

	private void list(int first, int end) {
		List<BackendServer> servers = new ArrayList<>();
		for (int index = first; index < end; index++) {
			servers.add(new BackendServer("i-" + index, "model", "10.0.0." + index + ":80", "z", 24, false));
		}
		this.tables.forEach((table) -> table.update(new ServerList(end * 100L + first, servers)));
		this.readMsByServer.keySet().removeIf((id) -> servers.stream().noneMatch((server) -> server.id().equals(id)));
	}

	private void exchange(long now) {
		for (int daemon = 0; daemon < DAEMONS; daemon++) {
			if (now % EXCHANGE_MS == daemon * EXCHANGE_MS / DAEMONS) {
				this.news.put("h" + daemon, this.holders.get(daemon).takeUntold(), now);
				this.holders.get(daemon).readByOthers(this.news.take("h" + daemon), now);
			}
		}
	}

	private void send(long now, SplittableRandom random) {
		int daemon = random.nextInt(DAEMONS);
		List<ServerState> servers = this.tables.get(daemon).of("model");
		// One server in ten is as busy as if its bound was reached.
		servers.forEach((server) -> server.setOtherRequests((random.nextInt(10) == 0) ? 20 : 3));
		PromptShape prompt = new PromptShape(List.of(new PromptPart("common", COMMON_TOKENS),
				new PromptPart("subject-" + random.nextInt(SUBJECTS), SUBJECT_TOKENS),
				new PromptPart("own-" + now, 100)), 50);
		EngineChoice choice = this.placements.get(daemon).choose(prompt, servers, servers, now);
		String server = choice.server().server().id();
		Map<String, Long> kept = this.readMsByServer.computeIfAbsent(server, (id) -> new HashMap<>());
		Map<String, Long> source = (choice.copyFrom() != null)
				? this.readMsByServer.getOrDefault(choice.copyFrom().server().id(), Map.of()) : Map.of();
		for (PromptPart part : prompt.sharedParts()) {
			this.asked += part.tokens();
			boolean found = kept.containsKey(part.id()) || source.containsKey(part.id());
			boolean known = this.readMsByServer.values()
				.stream()
				.anyMatch((parts) -> now - parts.getOrDefault(part.id(), Long.MAX_VALUE / 2) > KNOWN_MS);
			this.readAgain += (!found && known) ? part.tokens() : 0;
			kept.putIfAbsent(part.id(), now);
		}
		this.holders.get(daemon).read(prompt, server, now);
	}

}
