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
 * Load pattern: subjects recur, each time at any of several daemons, while servers join
 * and leave and some home servers are above the load bound. Guards against prefilling a
 * part again although a live server holds it, instead of copying it from there.
 */
class ReturningSubjectsLoadTests {

	private static final int DAEMONS = 7;

	private static final int SERVERS = 13;

	private static final int SUBJECTS = 150;

	private static final int REQUESTS_PER_S = 60;

	private static final long END_MS = 30_000;

	private static final long JOIN_MS = 10_000;

	private static final long LEAVE_MS = 20_000;

	private static final int JOINING_SERVERS = 3;

	private static final long EXCHANGE_INTERVAL_MS = 350;

	private static final int COMMON_TOKENS = 600;

	private static final int SUBJECT_TOKENS = 2_000;

	/** A report reaches a daemon after one exchange of its sender and one of its own. */
	private static final long PROPAGATION_MS = 2 * EXCHANGE_INTERVAL_MS;

	private final List<ServerTable> tables = new ArrayList<>();

	private final List<PartHolders> holders = new ArrayList<>();

	private final List<EnginePlacement> placements = new ArrayList<>();

	private final PartReportRelay relay = new PartReportRelay(1_000, 2_000);

	private final Map<String, Map<String, Long>> prefilledMsByServer = new HashMap<>();

	private long requestedTokens;

	private long prefilledAgainTokens;

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3 })
	void partsOfLiveServersAreCopiedAndNotPrefilledAgain(long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		start();
		for (long nowMs = 0; nowMs < END_MS; nowMs++) {
			if (nowMs == JOIN_MS) {
				updateServers(0, SERVERS + JOINING_SERVERS);
			}
			if (nowMs == LEAVE_MS) {
				updateServers(2, SERVERS + JOINING_SERVERS);
			}
			exchangeReports(nowMs);
			if (random.nextInt(1_000) < REQUESTS_PER_S) {
				send(nowMs, random);
			}
		}
		assertThat(this.prefilledAgainTokens)
			.as("tokens prefilled again although a live server held them, of %d requested", this.requestedTokens)
			.isZero();
	}

	private void start() {
		for (int daemon = 0; daemon < DAEMONS; daemon++) {
			this.tables.add(new ServerTable());
			this.holders.add(new PartHolders(8_192, 120_000));
			this.placements.add(new EnginePlacement(this.holders.getLast()));
		}
		updateServers(0, SERVERS);
	}

	private void updateServers(int first, int end) {
		List<BackendServer> servers = new ArrayList<>();
		for (int index = first; index < end; index++) {
			servers.add(new BackendServer("i-" + index, "model", "10.0.0." + index + ":80", "z", 24, false, "v1"));
		}
		this.tables.forEach((table) -> table.update(new ServerList(end * 100L + first, servers), 0));
		this.prefilledMsByServer.keySet()
			.removeIf((id) -> servers.stream().noneMatch((server) -> server.id().equals(id)));
	}

	private void exchangeReports(long nowMs) {
		for (int daemon = 0; daemon < DAEMONS; daemon++) {
			if (nowMs % EXCHANGE_INTERVAL_MS == daemon * EXCHANGE_INTERVAL_MS / DAEMONS) {
				this.relay.put("h" + daemon, this.holders.get(daemon).takeUnreportedParts(), nowMs);
				this.holders.get(daemon).recordReportedParts(this.relay.take("h" + daemon), nowMs);
			}
		}
	}

	private void send(long nowMs, SplittableRandom random) {
		int daemon = random.nextInt(DAEMONS);
		List<ServerState> servers = this.tables.get(daemon).of("model");
		// One server in ten is loaded as if it had reached the load bound.
		servers.forEach((server) -> server.setOtherRequests((random.nextInt(10) == 0) ? 20 : 3));
		PromptShape prompt = new PromptShape(List.of(new PromptPart("common", COMMON_TOKENS),
				new PromptPart("subject-" + random.nextInt(SUBJECTS), SUBJECT_TOKENS),
				new PromptPart("own-" + nowMs, 100)), 50);
		EngineChoice choice = this.placements.get(daemon).choose(prompt, servers, servers, nowMs);
		String server = choice.server().server().id();
		Map<String, Long> held = this.prefilledMsByServer.computeIfAbsent(server, (id) -> new HashMap<>());
		Map<String, Long> sourceParts = (choice.copyFrom() != null)
				? this.prefilledMsByServer.getOrDefault(choice.copyFrom().server().id(), Map.of()) : Map.of();
		for (PromptPart part : prompt.sharedParts()) {
			this.requestedTokens += part.tokens();
			boolean found = held.containsKey(part.id()) || sourceParts.containsKey(part.id());
			boolean known = this.prefilledMsByServer.values()
				.stream()
				.anyMatch((parts) -> nowMs - parts.getOrDefault(part.id(), Long.MAX_VALUE / 2) > PROPAGATION_MS);
			this.prefilledAgainTokens += (!found && known) ? part.tokens() : 0;
			held.putIfAbsent(part.id(), nowMs);
		}
		this.holders.get(daemon).recordPrefill(prompt, server, nowMs);
	}

}
