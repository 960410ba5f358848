package io.fescuehold.core.prompt;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

import io.fescuehold.core.servers.BackendServer;
import io.fescuehold.core.servers.ServerList;
import io.fescuehold.core.servers.ServerOutcome;
import io.fescuehold.core.servers.ServerState;
import io.fescuehold.core.servers.ServerTable;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the placement of prompts, with one test for each load pattern.
 */
class EnginePlacementTests {

	/** No server may exceed this multiple of the mean plus the slack. */
	private static final double CAP_FACTOR = 2;

	private static final double CAP_SLACK_REQUESTS = 3;

	private final PartHolders holders = new PartHolders(1_000, 30_000);

	private final EnginePlacement placement = new EnginePlacement(this.holders);

	@Test
	void daemonsAgreeOnTheHomeOfAPartWithoutCommunication() {
		EnginePlacement other = new EnginePlacement(new PartHolders(1_000, 30_000));
		for (int subject = 0; subject < 50; subject++) {
			PromptShape prompt = prompt("subject-" + subject, "request");
			assertThat(choose(prompt, servers(9)).server().server().id())
				.isEqualTo(other.choose(prompt("subject-" + subject, "other"), servers(9), servers(9), 0)
					.server()
					.server()
					.id());
		}
	}

	@Test
	void returningSubjectsStayOnOneServerEach() {
		List<ServerState> servers = servers(9);
		Map<String, Set<String>> serversBySubject = new HashMap<>();
		SplittableRandom random = new SplittableRandom(1);
		for (int request = 0; request < 1_000; request++) {
			String subject = "subject-" + random.nextInt(40);
			EngineChoice choice = choose(prompt(subject, "r" + request), servers);
			serversBySubject.computeIfAbsent(subject, (id) -> new HashSet<>()).add(choice.server().server().id());
		}
		assertThat(serversBySubject.values()).allSatisfy((ids) -> assertThat(ids).hasSize(1));
	}

	@Test
	void hotSubjectSpillsBeforeItsHomeExceedsTheCap() {
		List<ServerState> servers = servers(9);
		List<ServerState> running = new ArrayList<>();
		SplittableRandom random = new SplittableRandom(2);
		for (int request = 0; request < 2_000; request++) {
			String subject = (random.nextInt(10) < 4) ? "hot" : "subject-" + random.nextInt(60);
			EngineChoice choice = choose(prompt(subject, "r" + request), servers);
			choice.server().begin();
			running.add(choice.server());
			if (running.size() > 60) {
				running.remove(random.nextInt(running.size())).end();
			}
			double mean = servers.stream().mapToInt(ServerState::load).average().orElseThrow();
			assertThat(choice.server().load()).isLessThanOrEqualTo((int) (CAP_FACTOR * mean + CAP_SLACK_REQUESTS));
		}
	}

	@Test
	void spilledPromptCopiesItsPartsFromTheServerThatHoldsThem() {
		List<ServerState> servers = servers(5);
		PromptShape prompt = prompt("subject", "r1");
		ServerState home = choose(prompt, servers).server();
		this.holders.recordPrefill(prompt, home.server().id(), 0);
		home.setOtherRequests(40);
		EngineChoice spilled = choose(prompt("subject", "r2"), servers);
		assertThat(spilled.reason()).isEqualTo(EngineChoice.Reason.SPILL);
		assertThat(spilled.copyFrom()).isSameAs(home);
	}

	@Test
	void newServerCopiesFromThePreviousHome() {
		PromptShape prompt = prompt("subject", "r");
		List<ServerState> all = servers(9);
		ServerState newServer = choose(prompt, all).server();
		List<ServerState> othersOnly = all.stream().filter((server) -> server != newServer).toList();
		ServerState previousHome = choose(prompt, othersOnly).server();
		EngineChoice choice = choose(prompt, all);
		assertThat(choice.server()).isSameAs(newServer);
		assertThat(choice.copyFrom()).as("although this daemon has not seen the subject").isSameAs(previousHome);
	}

	@Test
	void promptWhosePartsTheServerHoldsCopiesNothing() {
		List<ServerState> servers = servers(5);
		PromptShape prompt = prompt("subject", "r1");
		this.holders.recordPrefill(prompt, choose(prompt, servers).server().server().id(), 0);
		assertThat(choose(prompt("subject", "r2"), servers).copyFrom()).isNull();
	}

	@Test
	void serverThatFailsMostRequestsLosesItsPartsToOthers() {
		List<ServerState> servers = servers(5);
		PromptShape prompt = prompt("subject", "r1");
		ServerState home = choose(prompt, servers).server();
		for (int failure = 0; failure < 10; failure++) {
			home.health().record(ServerOutcome.FAILED, 0);
		}
		assertThat(choose(prompt, servers).server()).isNotSameAs(home);
	}

	@Test
	void promptWithoutPartsGoesToTheLeastLoadedServer() {
		List<ServerState> servers = servers(3);
		servers.get(0).setOtherRequests(3);
		servers.get(1).setOtherRequests(1);
		servers.get(2).setOtherRequests(2);
		EngineChoice choice = choose(new PromptShape(List.of(), 10), servers);
		assertThat(choice.server()).isSameAs(servers.get(1));
		assertThat(this.placement.choose(prompt("a", "b"), List.of(), servers, 0)).isNull();
	}

	private EngineChoice choose(PromptShape prompt, List<ServerState> servers) {
		return this.placement.choose(prompt, servers, servers, 0);
	}

	private static PromptShape prompt(String subject, String sessionPart) {
		return new PromptShape(List.of(new PromptPart("common", 2_500), new PromptPart(subject, 6_000),
				new PromptPart(sessionPart, 500)), 50);
	}

	private static List<ServerState> servers(int count) {
		ServerTable table = new ServerTable();
		List<BackendServer> list = new ArrayList<>();
		for (int index = 0; index < count; index++) {
			list.add(new BackendServer("i-" + index, "model", "10.0.0." + index + ":80", "z", 96, false, "v1"));
		}
		table.update(new ServerList(1, list), 0);
		return table.of("model");
	}

}
