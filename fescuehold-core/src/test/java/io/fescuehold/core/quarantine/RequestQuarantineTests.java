package io.fescuehold.core.quarantine;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import io.fescuehold.core.prompt.PromptPart;
import io.fescuehold.core.prompt.PromptShape;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against prompts that crash one server after the other (BUDGET), and against
 * sound prompts that are refused for them (LOST).
 */
class RequestQuarantineTests {

	private static final String SERVICE = "model";

	private static final long INTERVAL_MS = 500;

	private final RequestQuarantine quarantine = new RequestQuarantine("h1");

	private long nowMs = 1_000;

	private static RequestFeatures prompt(String... parts) {
		return new RequestFeatures(
				new PromptShape(Arrays.stream(parts).map((part) -> new PromptPart(part, 100)).toList(), 10), null);
	}

	private static RequestIdentity request(String caller, String body) {
		return new RequestIdentity("POST", "/chat/x", caller, body.getBytes(StandardCharsets.UTF_8));
	}

	// Each request is given by its body and its parts, as in "body: part part".
	private void crashWithRequests(String serverId, String... requests) {
		this.nowMs += INTERVAL_MS;
		this.quarantine.recordCrash(SERVICE, serverId,
				Arrays.stream(requests).map((request) -> features(request).ids()).toList(), this.nowMs);
	}

	private static RequestFeatures features(String request) {
		String[] bodyAndParts = request.split(": ");
		String[] parts = (bodyAndParts[1] + " own").split(" ");
		return new RequestFeatures(prompt(parts).prompt(), request("caller", bodyAndParts[0]));
	}

	private boolean isRequestQuarantined(String request) {
		return this.quarantine.find(SERVICE, features(request)) != null;
	}

	private void crash(String serverId, String... prompts) {
		this.nowMs += INTERVAL_MS;
		this.quarantine.recordCrash(SERVICE, serverId,
				Arrays.stream(prompts).map((prompt) -> Set.of(prompt.split(" "))).toList(), this.nowMs);
	}

	private void answer(String... parts) {
		this.nowMs += 10;
		this.quarantine.recordAnswer(SERVICE, prompt(parts), this.nowMs);
	}

	private boolean isQuarantined(String... parts) {
		return this.quarantine.find(SERVICE, prompt(parts)) != null;
	}

	@Test
	void partThatThreeCrashesHaveInCommonIsQuarantined() {
		answer("common", "subject", "own");
		crash("i-1", "common subject bad", "common other");
		answer("common", "other", "own");
		crash("i-2", "common subject2 bad", "common third");
		assertThat(isQuarantined("common", "bad", "own")).isFalse();
		crash("i-3", "common subject3 bad", "common fourth");
		assertThat(isQuarantined("common", "subject4", "bad", "own")).isTrue();
		assertThat(isQuarantined("common", "subject", "own")).isFalse();
		assertThat(isQuarantined("common", "other", "own")).isFalse();
	}

	@Test
	void commonPartThatIsNotAnsweredDuringTheCrashesIsNotBlamed() {
		answer("common", "subject", "own");
		crash("i-1", "common subject bad", "common other");
		crash("i-2", "common subject bad", "common third");
		crash("i-3", "common subject bad");
		assertThat(this.quarantine.attributions()).singleElement()
			.extracting(Attribution::features)
			.isEqualTo(Set.of("bad"));
	}

	@Test
	void partThatStartsToCrashServersAfterItWasAnsweredIsQuarantined() {
		answer("common", "own");
		crash("i-1", "common");
		crash("i-2", "common");
		crash("i-3", "common");
		assertThat(isQuarantined("common", "own")).isTrue();
	}

	@Test
	void onlyTheCombinationIsRefusedWhileItsPartsCannotBeToldApart() {
		for (String server : List.of("i-1", "i-2", "i-3")) {
			crash(server, "new bad");
		}
		assertThat(isQuarantined("new", "bad", "own")).isTrue();
		assertThat(isQuarantined("new", "other", "own")).isFalse();
		assertThat(isQuarantined("other", "bad", "own")).isFalse();
		crash("i-4", "other bad");
		assertThat(isQuarantined("third", "bad", "own")).isTrue();
		assertThat(isQuarantined("new", "other", "own")).isFalse();
	}

	@Test
	void crashesThatAreExplainedDoNotCountAgainstOtherParts() {
		for (int server = 1; server <= 3; server++) {
			crash("i-" + server, "bad", "waiting");
			answer("waiting", "own");
		}
		crash("i-4", "bad", "late");
		crash("i-5", "bad", "late");
		crash("i-6", "bad", "late");
		assertThat(isQuarantined("bad", "own")).isTrue();
		assertThat(isQuarantined("late", "own")).isFalse();
	}

	@Test
	void serversThatFailTogetherCountOnce() {
		this.nowMs += INTERVAL_MS;
		for (int server = 1; server <= 6; server++) {
			this.quarantine.recordCrash(SERVICE, "i-" + server, List.of(Set.of("new")), this.nowMs + server);
		}
		assertThat(isQuarantined("new", "own")).isFalse();
	}

	@Test
	void reportsOfSeveralDaemonsAboutOneCrashCountOnce() {
		for (int report = 0; report < 5; report++) {
			this.quarantine.merge(new CrashEvidence(List
				.of(new CrashEvidence.Crash(SERVICE, "i-1", report * 50L, List.of(Set.of("new", "p" + report)))),
					List.of()), this.nowMs);
		}
		assertThat(isQuarantined("new", "own")).isFalse();
	}

	@Test
	void partOfALongPromptIsQuarantined() {
		String prompt = IntStream.range(0, 60).mapToObj((index) -> "part-" + index).collect(Collectors.joining(" "));
		for (String server : List.of("i-1", "i-2", "i-3")) {
			crash(server, prompt);
		}
		assertThat(isQuarantined((prompt + " own").split(" "))).isTrue();
	}

	@Test
	void lastPartOfAPromptIsNeverBlamed() {
		assertThat(prompt("common", "own").partIds()).containsExactly("common");
	}

	@Test
	void soundAnswerEndsTheQuarantine() {
		for (String server : List.of("i-1", "i-2", "i-3")) {
			crash(server, "slandered");
		}
		assertThat(isQuarantined("slandered", "own")).isTrue();
		answer("slandered", "own");
		assertThat(isQuarantined("slandered", "own")).isFalse();
	}

	@Test
	void otherServiceMayRunThePart() {
		for (String server : List.of("i-1", "i-2", "i-3")) {
			crash(server, "bad");
		}
		assertThat(this.quarantine.find("other", prompt("bad", "own"))).isNull();
	}

	@Test
	void trialsAreSingleAndRarerAfterEachFailure() {
		for (String server : List.of("i-1", "i-2", "i-3")) {
			crash(server, "bad");
		}
		List<String> hosts = List.of("h1", "h2", "h3");
		Attribution first = this.quarantine.attributions().getFirst();
		assertThat(this.quarantine.tryAcquireTrial(first, hosts, first.heldUntilMs() - 1)).isFalse();
		this.nowMs = first.heldUntilMs() + 10_000;
		assertThat(this.quarantine.tryAcquireTrial(first, hosts, this.nowMs)).isTrue();
		assertThat(this.quarantine.tryAcquireTrial(first, hosts, this.nowMs + 1)).isFalse();
		crash("i-4", "bad");
		Attribution second = this.quarantine.attributions().getFirst();
		assertThat(second.heldUntilMs() - this.nowMs).isEqualTo(2 * Attribution.FIRST_HOLD_MS);
		assertThat(this.quarantine.tryAcquireTrial(second, hosts, this.nowMs + Attribution.FIRST_HOLD_MS)).isFalse();
	}

	@ParameterizedTest
	@ValueSource(ints = { 7, 44, 351 })
	void daemonsTakeTurnsWithTrials(int count) {
		List<String> hosts = IntStream.range(0, count).mapToObj((index) -> "h" + index).toList();
		long trials = hosts.stream().filter((host) -> {
			RequestQuarantine other = new RequestQuarantine(host);
			for (int server = 1; server <= 3; server++) {
				long atMs = server * INTERVAL_MS;
				other.recordCrash(SERVICE, "i-" + server, List.of(Set.of("bad")), atMs);
			}
			Attribution attribution = other.attributions().getFirst();
			return other.tryAcquireTrial(attribution, hosts, attribution.heldUntilMs() + 1_000);
		}).count();
		assertThat(trials).isEqualTo(1);
	}

	@Test
	void daemonsThatSawDifferentCrashesConcludeTheSame() {
		List<RequestQuarantine> daemons = List.of(new RequestQuarantine("h1"), new RequestQuarantine("h2"),
				new RequestQuarantine("h3"), new RequestQuarantine("h4"));
		for (int index = 0; index < 3; index++) {
			long atMs = 1_000 + index * INTERVAL_MS;
			daemons.get(index)
				.recordCrash(SERVICE, "i-" + index, List.of(Set.of("common", "bad"), Set.of("common", "w" + index)),
						atMs);
			daemons.get(3).recordAnswer(SERVICE, prompt("common", "w" + index, "own"), atMs + 100);
		}
		for (int round = 0; round < 2; round++) {
			for (RequestQuarantine from : daemons) {
				daemons.forEach((to) -> to.merge(from.evidenceSince(0, 3_000), 3_000));
			}
		}
		assertThat(daemons).allSatisfy((daemon) -> assertThat(daemon.attributions()).singleElement()
			.extracting(Attribution::features)
			.isEqualTo(Set.of("bad")));
	}

	@Test
	void repeatedEvidenceChangesNothing() {
		crash("i-1", "bad");
		long version = this.quarantine.version();
		this.quarantine.merge(this.quarantine.evidenceSince(0, this.nowMs), this.nowMs);
		assertThat(this.quarantine.version()).isEqualTo(version);
	}

	// Without it, the loss of a rack would end every quarantine.
	@Test
	void crashesOfManyOtherServersDoNotEndAQuarantine() {
		for (String server : List.of("i-1", "i-2", "i-3")) {
			crash(server, "bad");
		}
		this.nowMs += INTERVAL_MS;
		for (int server = 0; server < 3 * RequestQuarantine.MAX_CRASHES; server++) {
			this.quarantine.recordCrash(SERVICE, "r-" + server, List.of(Set.of("part-" + server)), this.nowMs);
		}
		assertThat(isQuarantined("bad", "own")).isTrue();
	}

	@Test
	void quarantineEndsWithoutNewEvidence() {
		for (String server : List.of("i-1", "i-2", "i-3")) {
			crash(server, "bad");
		}
		this.quarantine.expire(this.nowMs + RequestQuarantine.RETENTION_MS - 1);
		assertThat(isQuarantined("bad", "own")).isFalse();
		assertThat(this.quarantine.evidenceSince(0, this.nowMs).crashes()).hasSize(1);
		this.quarantine.expire(this.nowMs + RequestQuarantine.RETENTION_MS);
		assertThat(this.quarantine.evidenceSince(0, this.nowMs).isEmpty()).isTrue();
	}

	@Test
	void evidenceIsBoundedInSize() {
		for (int server = 0; server < 3 * RequestQuarantine.MAX_CRASHES; server++) {
			String[] prompts = new String[CrashRecord.MAX_FEATURE_IDS];
			for (int index = 0; index < prompts.length; index++) {
				prompts[index] = "common part-" + server + "-" + index;
			}
			crash("i-" + server, prompts);
		}
		CrashEvidence evidence = this.quarantine.evidenceSince(0, this.nowMs);
		assertThat(evidence.crashes()).hasSize(RequestQuarantine.MAX_CRASHES)
			.allSatisfy((crash) -> assertThat(crash.prompts().stream().mapToInt(Set::size).sum())
				.isLessThanOrEqualTo(CrashRecord.MAX_FEATURE_IDS));
	}

	// A part that only sound requests have was refused for a minute, and the request that
	// crashed the servers went on (BUDGET, LOST).
	@Test
	void requestThatComesAgainIsToBlameAndNotThePartsThatItShares() {
		answer("class", "subject", "own");
		for (String server : List.of("i-1", "i-2", "i-3")) {
			assertThat(isRequestQuarantined("bad: class subject")).isFalse();
			crashWithRequests(server, "bad: class subject", server + ": class other");
		}
		assertThat(isRequestQuarantined("bad: class subject")).isTrue();
		assertThat(isRequestQuarantined("sound: class subject")).isFalse();
		answer("class", "subject", "own");
		assertThat(isRequestQuarantined("bad: class subject")).isTrue();
	}

	@Test
	void requestWithoutPromptIsQuarantined() {
		RequestFeatures order = new RequestFeatures(null, request("caller", "order"));
		for (String server : List.of("i-1", "i-2", "i-3")) {
			this.nowMs += INTERVAL_MS;
			this.quarantine.recordCrash(SERVICE, server, List.of(order.ids()), this.nowMs);
		}
		assertThat(this.quarantine.find(SERVICE, order)).isNotNull();
		assertThat(this.quarantine.find(SERVICE, new RequestFeatures(null, request("caller", "other")))).isNull();
	}

	// No caller may get the requests of another one refused.
	@Test
	void requestOfAnotherCallerIsNotBlamed() {
		for (String server : List.of("i-1", "i-2", "i-3")) {
			crashWithRequests(server, "bad: class");
		}
		RequestFeatures same = new RequestFeatures(null, request("caller", "bad"));
		RequestFeatures other = new RequestFeatures(null, request("other", "bad"));
		assertThat(this.quarantine.find(SERVICE, same)).isNotNull();
		assertThat(this.quarantine.find(SERVICE, other)).isNull();
	}

	@Test
	void partThatNamesARequestIsIgnored() {
		String id = request("caller", "sound").id();
		for (String server : List.of("i-1", "i-2", "i-3")) {
			this.nowMs += INTERVAL_MS;
			RequestFeatures forged = new RequestFeatures(prompt(id, "own").prompt(), request("attacker", server));
			this.quarantine.recordCrash(SERVICE, server, List.of(forged.ids()), this.nowMs);
		}
		assertThat(isRequestQuarantined("sound: class")).isFalse();
	}

	@Test
	void partIsToBlameIfNoRequestExplainsItsCrashes() {
		crashWithRequests("i-1", "a: class tainted", "s: class sound");
		crashWithRequests("i-2", "a: class tainted");
		answer("class", "own");
		crashWithRequests("i-3", "b: class tainted");
		assertThat(isRequestQuarantined("c: class tainted")).isTrue();
		assertThat(isRequestQuarantined("s: class sound")).isFalse();
	}

	@Test
	void requestAndPartAreBothFoundInTheSameCrashes() {
		for (int round = 1; round <= 3; round++) {
			crashWithRequests("r-" + round, "bad: class");
			crashWithRequests("p-" + round, "p" + round + ": class tainted");
			answer("class", "own");
		}
		assertThat(isRequestQuarantined("bad: class")).isTrue();
		assertThat(isRequestQuarantined("p9: class tainted")).isTrue();
		assertThat(isRequestQuarantined("sound: class")).isFalse();
	}

	// Two causes lifted each other's quarantine in turn, because each explained the
	// crashes in which both were lost, and went on to crash servers (BUDGET).
	@Test
	void causesThatAreLostTogetherAreBothFound() {
		crashWithRequests("i-1", "p1: class tainted");
		for (int server = 2; server <= 4; server++) {
			crashWithRequests("i-" + server, "p" + server + ": class tainted", "bad: class", "s" + server + ": class");
		}
		answer("class", "own");
		crashWithRequests("i-5", "bad: class");
		assertThat(isRequestQuarantined("bad: class")).isTrue();
		crashWithRequests("i-6", "p6: class tainted");
		assertThat(isRequestQuarantined("bad: class")).isTrue();
		assertThat(isRequestQuarantined("p7: class tainted")).isTrue();
		assertThat(isRequestQuarantined("s2: class")).isFalse();
	}

	// A request that was lost together with a guilty one is refused only until the next
	// outcome of either tells them apart.
	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void requestThatTravelledWithAGuiltyOneIsSoonServed(boolean guiltyIsTriedFirst) {
		for (String server : List.of("i-1", "i-2", "i-3")) {
			crashWithRequests(server, "bad: class", "innocent: class");
		}
		Attribution attribution = this.quarantine.find(SERVICE, features("innocent: class"));
		long trialAtMs = attribution.heldUntilMs();
		assertThat(trialAtMs - this.nowMs).isLessThanOrEqualTo(Attribution.AMBIGUOUS_HOLD_MS);
		assertThat(this.quarantine.tryAcquireTrial(attribution, List.of("h1"), trialAtMs)).isTrue();
		this.nowMs = trialAtMs;
		if (guiltyIsTriedFirst) {
			crashWithRequests("i-4", "bad: class");
		}
		else {
			this.quarantine.recordAnswer(SERVICE, features("innocent: class"), this.nowMs);
		}
		assertThat(isRequestQuarantined("innocent: class")).isFalse();
		assertThat(isRequestQuarantined("bad: class")).isTrue();
		assertThat(this.quarantine.attributions()).singleElement()
			.satisfies((remaining) -> assertThat(remaining.heldUntilMs() - this.nowMs)
				.isGreaterThan(Attribution.AMBIGUOUS_HOLD_MS));
	}

	@Test
	void answeredRequestIsNoLongerSuspected() {
		crashWithRequests("i-1", "bad: class", "innocent: class");
		assertThat(this.quarantine.isSuspected(SERVICE, features("innocent: class"))).isTrue();
		assertThat(this.quarantine.isSuspected(SERVICE, features("new: class"))).isFalse();
		this.nowMs += INTERVAL_MS;
		this.quarantine.recordAnswer(SERVICE, features("innocent: class"), this.nowMs);
		assertThat(this.quarantine.isSuspected(SERVICE, features("innocent: class"))).isFalse();
		assertThat(this.quarantine.isSuspected(SERVICE, features("bad: class"))).isTrue();
	}

	@Test
	void otherServiceDoesNotGetTheRequestUnlessItHasAnsweredIt() {
		for (String server : List.of("i-1", "i-2", "i-3")) {
			crashWithRequests(server, "bad: class");
		}
		assertThat(this.quarantine.find("other", features("bad: class"))).isNotNull();
		this.nowMs += INTERVAL_MS;
		this.quarantine.recordAnswer("other", features("bad: class"), this.nowMs);
		assertThat(this.quarantine.find("other", features("bad: class"))).isNull();
		assertThat(isRequestQuarantined("bad: class")).isTrue();
	}

	// A caller that sends many requests that crash servers must not end the quarantine of
	// another caller's request.
	@Test
	void requestsOfOneCallerDoNotPushOutTheEvidenceOnAnotherOne() {
		for (String server : List.of("i-1", "i-2", "i-3")) {
			crashWithRequests(server, "bad: class");
		}
		for (int index = 0; index < 2 * RequestQuarantine.MAX_CRASHES; index++) {
			for (int server = 0; server < CrashAttribution.MIN_CRASHES; server++) {
				this.nowMs += INTERVAL_MS;
				RequestFeatures flood = new RequestFeatures(null, request("flood", "f" + index));
				this.quarantine.recordCrash(SERVICE, "f-" + index + "-" + server, List.of(flood.ids()), this.nowMs);
			}
		}
		assertThat(isRequestQuarantined("bad: class")).isTrue();
	}

	// Daemons of the previous version pass on what they take for a prompt part.
	@Test
	void evidenceOnRequestsIsACrashWithPartsToEarlierVersions() {
		crashWithRequests("i-1", "bad: class");
		CrashEvidence evidence = this.quarantine.evidenceSince(0, this.nowMs);
		assertThat(evidence.crashes().getFirst().prompts()).singleElement()
			.isEqualTo(Set.of("class", request("caller", "bad").id()));
	}

}
