package io.fescuehold.core.prompt;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

import io.fescuehold.core.routes.EngineSpec;
import io.fescuehold.core.servers.BackendServer;
import io.fescuehold.core.servers.RequestDemand;
import io.fescuehold.core.servers.ServerList;
import io.fescuehold.core.servers.ServerLoadReport;
import io.fescuehold.core.servers.ServerState;
import io.fescuehold.core.servers.ServerTable;
import io.fescuehold.core.servers.WorkTimes;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load patterns of engines that are uneven: machines shared with other work that comes
 * and goes, prompts that fill the memory, and a part that is in much of the traffic.
 * Guards against choosing by requests in flight alone.
 */
class UnevenServersLoadTests {

	private static final double MS_PER_TOKEN = 1 / 110.0;

	private static final double FIRST_EVENT_MS = 30;

	private static final int OBJECTIVE_MS = 256;

	private static final EngineSpec ENGINE = new EngineSpec(64, 232_976, 192_512, 350_000, 5);

	private final PartHolders holders = new PartHolders(8_192, 120_000);

	private final MemoryInUse memory = new MemoryInUse();

	private final WorkTimes times = new WorkTimes();

	private final EnginePlacement placement = new EnginePlacement(this.holders, this.memory, this.times);

	// Other work makes a server 2.5 times as slow for 15 % of the time. A long prompt
	// that is read there for the first time misses its objective.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3 })
	void neighbourThatComesAndGoesDelaysFewPrompts(long seed) {
		learnTimes();
		int late = latePrompts(seed, this.placement, this.holders);
		PartHolders otherHolders = new PartHolders(8_192, 120_000);
		int lateWithoutTimes = latePrompts(seed, new EnginePlacement(otherHolders), otherHolders);
		assertThat(late).as("late prompts, %d of them if times are not known", lateWithoutTimes)
			.isLessThan(lateWithoutTimes / 2);
	}

	private int latePrompts(long seed, EnginePlacement decides, PartHolders held) {
		SplittableRandom random = new SplittableRandom(seed);
		List<ServerState> servers = servers(9);
		Map<ServerState, Double> factors = new HashMap<>();
		int late = 0;
		for (long nowMs = 0; nowMs < 30_000; nowMs += 4) {
			if (nowMs % 600 == 0) {
				servers.forEach((server) -> factors.put(server, (random.nextInt(100) < 15) ? 2.5 : 1));
			}
			PromptShape prompt = prompt("subject-" + random.nextInt(2_000), 8_000, "own-" + nowMs);
			EngineChoice choice = decides.choose(request(prompt), servers, servers, nowMs);
			double factor = factors.get(choice.server());
			late += (factor * (FIRST_EVENT_MS + choice.unreadTokens() * MS_PER_TOKEN) > OBJECTIVE_MS) ? 1 : 0;
			held.recordPrefill(prompt, choice.server().server().id(), nowMs);
			choice.server().recordReport(new ServerLoadReport(1, 0, 64, (int) (factor * 100)), 0, nowMs);
		}
		return late;
	}

	// Of some 210 requests in flight on six servers half have long prompts, of which a
	// server holds 25. A server with more of them interrupts one for another.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3 })
	void longPromptsDoNotExceedTheMemoryOfAServer(long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		List<ServerState> servers = servers(6);
		Map<ServerState, Long> inFlight = new HashMap<>();
		PriorityQueue<End> ends = new PriorityQueue<>((a, b) -> Long.compare(a.atMs, b.atMs));
		for (long nowMs = 0; nowMs < 20_000; nowMs += 5) {
			while (!ends.isEmpty() && ends.peek().atMs <= nowMs) {
				ends.poll().run(this.memory, inFlight);
			}
			boolean isLong = random.nextBoolean();
			PromptShape prompt = new PromptShape(List.of(new PromptPart("subject-" + nowMs, isLong ? 8_620 : 603),
					new PromptPart("own-" + nowMs, isLong ? 580 : 110)), 50);
			EngineRequest request = request(prompt);
			ServerState server = this.placement.choose(request, servers, servers, nowMs).server();
			server.begin();
			this.memory.begin(server.server().id(), prompt, request.demand());
			inFlight.merge(server, request.demand().memoryTokens(), Long::sum);
			ends.add(new End(nowMs + 700 + random.nextInt(700), server, request));
			assertThat(inFlight.get(server)).as("tokens in flight at %s after %d ms", server.server().id(), nowMs)
				.isLessThanOrEqualTo(ENGINE.cacheTokens());
			double mean = ends.size() / (double) servers.size();
			assertThat(server.load()).as("requests at a server").isLessThanOrEqualTo((int) (2 * mean + 3));
		}
	}

	// A part in much of the traffic spills to other servers. They copy it only where the
	// caller would notice that it is read again.
	@ParameterizedTest
	@ValueSource(ints = { 100, 300, 12_000 })
	void hotPartIsCopiedOnlyWhereReadingItAgainTakesLong(int subjectTokens) {
		learnTimes();
		List<ServerState> servers = servers(9);
		int copies = 0;
		int spills = 0;
		for (int request = 0; request < 60; request++) {
			PromptShape prompt = prompt("hot", subjectTokens, "own-" + request);
			EngineChoice choice = this.placement.choose(request(prompt), servers, servers, request);
			spills += (choice.reason() == EngineChoice.Reason.SPILL && choice.unreadTokens() > 500) ? 1 : 0;
			copies += (choice.copyFrom() != null) ? 1 : 0;
			choice.server().begin();
			this.holders.recordPrefill(prompt, choice.server().server().id(), request);
		}
		assertThat(spills).as("requests on servers that lacked the part").isPositive();
		// Copying a token saves 4.7 microseconds, and 2 % of the objective are 5.1 ms.
		assertThat(copies > 0).as("copies of %d tokens", subjectTokens).isEqualTo(subjectTokens > 1_080);
	}

	private void learnTimes() {
		for (int request = 0; request < 200; request++) {
			int tokens = (request % 10) * 1_000;
			this.times.record("model", tokens, FIRST_EVENT_MS + tokens * MS_PER_TOKEN);
		}
	}

	private static EngineRequest request(PromptShape prompt) {
		RequestDemand demand = new RequestDemand(prompt.promptTokens(), 50, 0, "team", OBJECTIVE_MS, 5_000);
		return new EngineRequest("model", prompt, demand, ENGINE);
	}

	private static PromptShape prompt(String subject, int subjectTokens, String own) {
		return new PromptShape(List.of(new PromptPart("common", 500), new PromptPart(subject, subjectTokens),
				new PromptPart(own, 580)), 50);
	}

	private static List<ServerState> servers(int count) {
		List<BackendServer> list = new ArrayList<>();
		for (int index = 0; index < count; index++) {
			list.add(new BackendServer("i-" + index, "model", "10.0.0." + index + ":80", "z", 64, false, "v1"));
		}
		ServerTable table = new ServerTable();
		table.update(new ServerList(1, list), 0);
		return table.of("model");
	}

	private record End(long atMs, ServerState server, EngineRequest request) {

		private void run(MemoryInUse memory, Map<ServerState, Long> inFlight) {
			this.server.end();
			memory.end(this.server.server().id(), this.request.prompt(), this.request.demand());
			inFlight.merge(this.server, -this.request.demand().memoryTokens(), Long::sum);
		}

	}

}
