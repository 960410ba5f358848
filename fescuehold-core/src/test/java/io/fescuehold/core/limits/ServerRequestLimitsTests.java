package io.fescuehold.core.limits;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.IntToDoubleFunction;

import io.fescuehold.core.servers.LoadFractions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a overloaded server that gets far more requests than the limit that it
 * named (LIMIT), summed over all daemons.
 */
class ServerRequestLimitsTests {

	private static final String SERVER = "i-1";

	private static final long WINDOW_MS = 4_000;

	private static final long CUT_OFF_AT_MS = 6_000;

	private final ServerRequestLimits limits = new ServerRequestLimits(new SplittableRandom(1));

	private static int mostInWindow(int hosts, double limitPerS, int seed, IntToDoubleFunction requestsPerS) {
		return mostInWindow(hosts, 0, limitPerS, seed, requestsPerS);
	}

	// Returns the largest number of requests in any window, each host sending at the
	// given rate, of a fleet whose hosts see each other's load 400 ms late. The last
	// hosts are cut off after some seconds: they learn no loads any more, and the others
	// do not learn theirs.
	private static int mostInWindow(int hosts, int cutOffHosts, double limitPerS, int seed,
			IntToDoubleFunction requestsPerS) {
		SplittableRandom random = new SplittableRandom(seed);
		List<ServerRequestLimits> daemons = new ArrayList<>();
		List<LoadFractions> fractions = new ArrayList<>();
		for (int host = 0; host < hosts; host++) {
			daemons.add(new ServerRequestLimits(random.split()));
			daemons.getLast().record(SERVER, limitPerS, 0, 0);
			fractions.add(new LoadFractions());
		}
		List<Long> sentAtMs = new ArrayList<>();
		int[] inFlight = new int[hosts];
		for (long nowMs = 0; nowMs < 20_000; nowMs += 10) {
			for (int host = 0; host < hosts; host++) {
				if (nowMs % 400 == 0) {
					inFlight[host] = poisson(random, requestsPerS.applyAsDouble(host));
				}
			}
			int connectedHosts = (nowMs < CUT_OFF_AT_MS) ? hosts : hosts - cutOffHosts;
			int total = Arrays.stream(inFlight, 0, connectedHosts).sum();
			for (int host = 0; host < hosts; host++) {
				if (nowMs % 400 == 0 && host < connectedHosts) {
					fractions.get(host).record("model", inFlight[host], total - inFlight[host], nowMs);
				}
				double fraction = fractions.get(host).fraction("model", hosts);
				if (random.nextDouble() < requestsPerS.applyAsDouble(host) / 100
						&& daemons.get(host).isAllowed(SERVER, fraction, nowMs)) {
					daemons.get(host).consume(SERVER);
					sentAtMs.add(nowMs);
				}
			}
		}
		int most = 0;
		for (int first = 0; first < sentAtMs.size(); first++) {
			int last = first;
			while (last < sentAtMs.size() && sentAtMs.get(last) - sentAtMs.get(first) <= WINDOW_MS) {
				last++;
			}
			most = Math.max(most, last - first);
		}
		return most;
	}

	private static int poisson(SplittableRandom random, double mean) {
		double limit = Math.exp(-mean);
		int count = 0;
		for (double product = random.nextDouble(); product > limit; product *= random.nextDouble()) {
			count++;
		}
		return count;
	}

	private static double allowed(double limitPerS) {
		return 1.5 * limitPerS * WINDOW_MS / 1_000 + 5;
	}

	@ParameterizedTest
	@CsvSource({ "1,3.3", "7,0.5", "7,3.3", "7,20", "44,3.3", "351,3.3", "351,40" })
	void sumOverAllDaemonsKeepsTheLimit(int hosts, double limitPerS) {
		double perHostPerS = 5 * limitPerS / hosts;
		for (int seed = 1; seed <= 5; seed++) {
			assertThat(mostInWindow(hosts, limitPerS, seed, (host) -> perHostPerS))
				.isLessThanOrEqualTo((int) allowed(limitPerS));
		}
	}

	@ParameterizedTest
	@CsvSource({ "7,3.3", "7,20", "44,10" })
	void unequalLoadsKeepTheLimitAndUseIt(int hosts, double limitPerS) {
		double perHostPerS = 5 * limitPerS / hosts;
		for (int seed = 1; seed <= 5; seed++) {
			int most = mostInWindow(hosts, limitPerS, seed,
					(host) -> (host < hosts / 4 + 1) ? 3 * perHostPerS : perHostPerS / 4);
			assertThat(most).isBetween((int) (0.5 * limitPerS * WINDOW_MS / 1_000), (int) allowed(limitPerS));
		}
	}

	@ParameterizedTest
	@CsvSource({ "7,1,3.3", "7,3,3.3", "7,3,20", "44,21,10", "351,175,40" })
	void hostsThatAreCutOffKeepToTheirAllowance(int hosts, int cutOffHosts, double limitPerS) {
		double perHostPerS = 5 * limitPerS / hosts;
		for (int seed = 1; seed <= 5; seed++) {
			assertThat(mostInWindow(hosts, cutOffHosts, limitPerS, seed, (host) -> perHostPerS))
				.isLessThanOrEqualTo((int) allowed(limitPerS));
		}
	}

	@Test
	void pauseSavesNoRequests() {
		this.limits.record(SERVER, 4.0, 0, 0);
		int sent = 0;
		for (int attempt = 0; attempt < 50; attempt++) {
			if (this.limits.isAllowed(SERVER, 1, 30_000)) {
				this.limits.consume(SERVER);
				sent++;
			}
		}
		assertThat(sent).isBetween(3, 4);
	}

	@Test
	void limitEndsWhenTheServerStopsNamingIt() {
		this.limits.record(SERVER, 0.2, 0, 100);
		assertThat(this.limits.record(SERVER, null, 90, 200)).as("sent before the limit was named").isFalse();
		assertThat(this.limits.isAllowed(SERVER, 0, 300)).isFalse();
		assertThat(this.limits.record(SERVER, null, 110, 400)).isTrue();
		assertThat(this.limits.isAllowed(SERVER, 0, 400)).isTrue();
	}

	@Test
	void limitThatNoResponseNamesExpires() {
		this.limits.record(SERVER, 3.0, 0, 0);
		assertThat(this.limits.isAllowed(SERVER, 0, ServerRequestLimits.EXPIRY_MS - 1)).isFalse();
		assertThat(this.limits.isAllowed(SERVER, 0, ServerRequestLimits.EXPIRY_MS)).isTrue();
	}

	@Test
	void limitsOfServersThatAreGoneAreForgotten() {
		for (int server = 0; server < 1_000; server++) {
			this.limits.record("i-" + server, 3.0, 0, server);
		}
		this.limits.expire(999 + ServerRequestLimits.EXPIRY_MS);
		assertThat(this.limits.isEmpty()).isTrue();
		assertThat(this.limits.updatesSince(0, 999 + ServerRequestLimits.EXPIRY_MS)).isEmpty();
	}

	@Test
	void lowestLimitLetsSingleRequestsThrough() {
		this.limits.record(SERVER, 0.0, 0, 0);
		int sent = 0;
		for (long nowMs = 0; nowMs < 50_000; nowMs += 100) {
			if (this.limits.isAllowed(SERVER, 1, nowMs)) {
				this.limits.consume(SERVER);
				sent++;
			}
		}
		assertThat(sent).isBetween(2, 20);
	}

	@Test
	void newestResponseCountsAmongDaemons() {
		ServerRequestLimits other = new ServerRequestLimits(new SplittableRandom(2));
		this.limits.record(SERVER, 3.0, 0, 1_000);
		other.merge(this.limits.updatesSince(0, 1_100), 1_100);
		assertThat(other.isAllowed(SERVER, 0, 1_100)).isFalse();
		other.record(SERVER, null, 1_200, 1_300);
		other.merge(this.limits.updatesSince(0, 1_400), 1_400);
		assertThat(other.isAllowed(SERVER, 0, 1_400)).as("the older response does not count").isTrue();
		this.limits.merge(other.updatesSince(0, 1_400), 1_400);
		assertThat(this.limits.isAllowed(SERVER, 0, 1_400)).isTrue();
	}

	@Test
	void onlyASignificantChangeIsPassedOn() {
		this.limits.record(SERVER, 3.0, 0, 0);
		long version = this.limits.version();
		assertThat(this.limits.record(SERVER, 3.1, 10, 100)).isFalse();
		assertThat(this.limits.record(SERVER, 3.2, 110, 200)).isFalse();
		assertThat(this.limits.version()).isEqualTo(version);
		assertThat(this.limits.record(SERVER, 3.4, 210, 300)).isTrue();
		assertThat(this.limits.version()).isGreaterThan(version);
	}

	@Test
	void waitDependsOnAllServers() {
		this.limits.record("i-1", 5.0, 0, 0);
		this.limits.record("i-2", 5.0, 0, 0);
		assertThat(this.limits.meanWaitMs(List.of("i-1", "i-2"), 0.5, 0)).isEqualTo(250);
	}

}
