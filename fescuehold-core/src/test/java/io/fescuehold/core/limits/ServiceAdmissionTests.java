package io.fescuehold.core.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import java.util.function.UnaryOperator;
import java.util.stream.LongStream;

import io.fescuehold.core.servers.RequestDemand;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests who waits and who is refused at a service with too little room, each for a load
 * that took the room from others when every request was sent on at once.
 */
class ServiceAdmissionTests {

	private static final int SMALL_TEAMS = 23;

	private static final int CLUMP = 3;

	private static final int SEEDS = 5;

	private static final ServiceRoom FREE = new ServiceRoom(18, 0, 10, 35);

	private static final ServiceRoom FULL = new ServiceRoom(18, 2, 118, 35);

	private final ServiceAdmission<String> admission = new ServiceAdmission<>("desk", new ReturnSchedule(), 0);

	private static Map<String, Double> usual(double factor) {
		Map<String, Double> ratesPerS = new HashMap<>();
		for (int team = 0; team < SMALL_TEAMS; team++) {
			ratesPerS.put("small" + team, 140 * factor / SMALL_TEAMS);
		}
		ratesPerS.put("large", 60 * factor);
		return ratesPerS;
	}

	private static Map<String, Double> flood() {
		Map<String, Double> ratesPerS = usual(1);
		ratesPerS.merge("large", 6.5, (usualPerS, factor) -> usualPerS * factor);
		return ratesPerS;
	}

	// The mean over some seeds, because single seconds differ by a tenth.
	private static double mean(boolean admits, UnaryOperator<CrowdedService> load,
			ToDoubleFunction<CrowdedService> share) {
		return LongStream.rangeClosed(1, SEEDS).mapToObj((seed) -> {
			CrowdedService service = new CrowdedService(admits, seed).play(4_000, usual(1), CLUMP);
			service.reset();
			return load.apply(service);
		}).mapToDouble(share).average().orElseThrow();
	}

	private ServiceDecision<String> offer(String item, String team, int rank, long leftMs, ServiceRoom room,
			long nowMs) {
		return this.admission.offer(item, new RequestDemand(0, 0, rank, team, 195, nowMs + Math.min(leftMs, 800)),
				new ServiceAdmission.Caller("entry", leftMs), room, nowMs);
	}

	@Test
	void withoutPressureNothingWaitsAndNothingIsRefused() {
		CrowdedService service = new CrowdedService(true, 1).play(9_000, usual(1), CLUMP);
		assertThat(service.inAim("small")).isEqualTo(1);
		assertThat(service.inAim("large")).isEqualTo(1);
		assertThat(service.held()).isZero();
	}

	@Test
	void floodOfOneTeamIsPaidForByThatFlood() {
		UnaryOperator<CrowdedService> load = (service) -> service.play(6_000, flood(), CLUMP);
		assertThat(mean(false, load, (service) -> service.inAim("small"))).isLessThan(0.6);
		assertThat(mean(true, load, (service) -> service.inAim("small"))).isGreaterThan(0.8);
		assertThat(mean(true, load, (service) -> service.served("large"))).as("no team is starved").isGreaterThan(0.5);
	}

	@Test
	void callersWhoRepeatAtOnceTakeNothingFromOthers() {
		UnaryOperator<CrowdedService> load = (service) -> service.impatient(5).play(6_000, flood(), CLUMP);
		assertThat(mean(false, load, (service) -> service.inAim("small"))).isLessThan(0.6);
		assertThat(mean(true, load, (service) -> service.inAim("small"))).isGreaterThan(0.8);
	}

	@Test
	void burstOfAllTeamsIsServedBetterThanFromFullQueues() {
		UnaryOperator<CrowdedService> load = (service) -> service.play(3_000, usual(2.4), CLUMP)
			.play(2_000, usual(1), CLUMP);
		assertThat(mean(true, load, (service) -> service.inAim("small")))
			.isGreaterThan(mean(false, load, (service) -> service.inAim("small")) + 0.05);
		assertThat(mean(true, load, (service) -> service.served("small")))
			.isGreaterThan(mean(false, load, (service) -> service.served("small")));
	}

	@Test
	void returnOfAllCallersAfterALossOfPowerServesMoreOfThemWithoutASecondCollapse() {
		for (int tries : new int[] { 0, 8 }) {
			UnaryOperator<CrowdedService> load = (
					service) -> service.impatient(tries).returnAtOnce(usual(1), 2_000).play(2_000, usual(1), CLUMP);
			assertThat(mean(true, load, (service) -> service.served("small")))
				.isGreaterThan(mean(false, load, (service) -> service.served("small")));
			assertThat(mean(true, load, (service) -> {
				service.reset();
				return service.play(3_000, usual(1), CLUMP).inAim("small");
			})).as("after two seconds").isGreaterThan(0.95);
		}
	}

	@Test
	void firstRequestsPassWhileTheSpeedIsUnknown() {
		assertThat(offer("a", "team", 0, 1_500, FULL, 0)).isInstanceOf(ServiceDecision.Pass.class);
	}

	@Test
	void waitingRequestsLeaveByRankAndReturnedCallersBeforeNewOnes() {
		List<String> taken = new ArrayList<>();
		fillUp();
		// Callers with less time left than usual have been refused before.
		assertThat(offer("late-less-urgent", "b", 7, 1_200, FULL, 1_000)).isInstanceOf(ServiceDecision.Wait.class);
		assertThat(offer("later", "c", 2, 1_300, FULL, 1_000)).isInstanceOf(ServiceDecision.Wait.class);
		assertThat(offer("sooner", "c", 2, 1_100, FULL, 1_000)).isInstanceOf(ServiceDecision.Wait.class);
		assertThat(this.admission.remove("nobody")).isFalse();
		for (String next = this.admission.next(FREE, 1_010); next != null; next = this.admission.next(FREE, 1_010)) {
			taken.add(next);
		}
		assertThat(taken).containsExactly("sooner", "later", "late-less-urgent");
		assertThat(this.admission.waiting()).isZero();
	}

	@Test
	void requestsThatCannotBeServedInTimeAreRefusedAtOnceAndReturnOneAfterTheOther() {
		fillUp();
		List<Long> returnsMs = new ArrayList<>();
		for (int number = 0; number < 4; number++) {
			ServiceDecision<String> decision = offer("brief" + number, "d" + number, 2, 100, FULL, 1_000);
			assertThat(decision).isInstanceOf(ServiceDecision.Refused.class);
			returnsMs.add(((ServiceDecision.Refused<String>) offer("new" + number, "e" + number, 2, 1_500, FULL, 1_000))
				.retryAfterMs());
		}
		assertThat(returnsMs).isSorted().allMatch((returnMs) -> returnMs >= 25 && returnMs <= 500);
		assertThat(returnsMs.getLast()).isGreaterThan(returnsMs.getFirst());
	}

	@Test
	void requestsLeaveTheLineBeforeTheirTimeIsUp() {
		fillUp();
		offer("returned", "c", 2, 1_200, FULL, 1_000);
		assertThat(this.admission.removeExpired(1_100)).isEmpty();
		assertThat(this.admission.removeExpired(1_400)).containsExactly("returned");
		assertThat(this.admission.waiting()).isZero();
	}

	// Makes the service's speed known and uses up this host's part of it.
	private void fillUp() {
		for (int number = 0; number < 20; number++) {
			this.admission.served(FULL, FULL, 240, 900);
		}
		int number = 0;
		while (offer("first", "a" + number, 2, 1_500, FULL, 1_000) instanceof ServiceDecision.Pass) {
			number++;
		}
		assertThat(this.admission.waiting()).isZero();
	}

}
