package io.fescuehold.core.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Tests that all hosts derive the same tree without loops or too many children, that
 * every server is polled, and that digests neither lose samples nor make them appear
 * newer.
 */
class RelayTests {

	private static List<RelayHost> hosts(int count, int replicas) {
		List<RelayHost> hosts = new ArrayList<>();
		for (int index = 0; index < count; index++) {
			hosts.add(new RelayHost("h" + index, "d" + index % 6, index < replicas));
		}
		return hosts;
	}

	@Test
	void everyHostReachesARootWithinTheDepthAndFanOut() {
		RelayTree tree = new RelayTree(hosts(350, 5));
		assertThat(tree.roots()).hasSize(5);
		for (int index = 0; index < 350; index++) {
			String host = "h" + index;
			assertThat(tree.downstream(host)).hasSizeLessThanOrEqualTo(RelayTree.FAN_OUT);
			assertThat(tree.depth(host)).isBetween(0, 2);
			for (String upstream : tree.upstream(host)) {
				assertThat(tree.depth(upstream)).isLessThan(tree.depth(host));
			}
			tree.downstream(host).forEach((child) -> assertThat(tree.upstream(child).getFirst()).isEqualTo(host));
		}
	}

	@Test
	void treeDoesNotDependOnTheOrderOfTheHosts() {
		List<RelayHost> hosts = hosts(60, 3);
		RelayTree tree = new RelayTree(hosts);
		RelayTree reversed = new RelayTree(hosts.reversed());
		assertThat(IntStream.range(0, 60).mapToObj((index) -> tree.upstream("h" + index))).containsExactlyElementsOf(
				IntStream.range(0, 60).mapToObj((index) -> reversed.upstream("h" + index)).toList());
	}

	@Test
	void alternativesInOtherFailureDomainsComeFirst() {
		RelayTree tree = new RelayTree(hosts(350, 5));
		List<String> upstream = tree.upstream("h300");
		assertThat(domain(upstream.get(1))).isNotEqualTo(domain(upstream.get(0)));
		assertThat(upstream).containsAll(tree.roots());
	}

	private static int domain(String host) {
		return Integer.parseInt(host.substring(1)) % 6;
	}

	@Test
	void everyServerIsPolledByTwoRouters() {
		List<String> routers = IntStream.range(0, 7).mapToObj((index) -> "r" + index).toList();
		List<String> servers = IntStream.range(0, 12).mapToObj((index) -> "s" + index).toList();
		List<String> polled = new ArrayList<>();
		routers.forEach((router) -> polled.addAll(PollAssignment.serversOf(router, routers, servers)));
		assertThat(polled).hasSize(24);
		assertThat(polled).containsAll(servers);
	}

	@Test
	void loadScaleIsAccurate() {
		for (long tokens = 16; tokens < 4_000_000; tokens = tokens * 11 / 10 + 1) {
			assertThat((double) LoadScale.tokens(LoadScale.step(tokens))).isBetween(tokens * 0.974 - 0.5,
					tokens * 1.026 + 0.5);
		}
		assertThat(LoadScale.tokens(LoadScale.step(0))).isZero();
	}

	@Test
	void digestCarriesRandomSamplesAndNeverMakesThemNewer() {
		List<String> servers = IntStream.range(0, 600).mapToObj((index) -> "s" + index).toList();
		SplittableRandom random = new SplittableRandom(4);
		LoadDigest from = new LoadDigest(servers);
		LoadDigest to = new LoadDigest(servers);
		DigestLink out = new DigestLink(from);
		DigestLink in = new DigestLink(to);
		for (long nowMs = 10_000; nowMs < 20_000; nowMs += 250) {
			int samples = random.nextInt(600);
			for (int sample = 0; sample < samples; sample++) {
				from.offer(random.nextInt(600), random.nextInt(256), random.nextBoolean(), nowMs - 100);
			}
			byte[] message = out.encode(nowMs, 2_000);
			assertThat(message).hasSizeLessThanOrEqualTo(2_000);
			in.decode(message, nowMs);
			assertThat(in.encode(nowMs, 2_000)).as("samples are not sent back").isNull();
		}
		for (int index = 0; index < 600; index++) {
			assertThat(Math.abs(to.step(index) - from.step(index))).isLessThan(2);
			assertThat(to.isFull(index)).isEqualTo(from.isFull(index));
			assertThat(to.sampledAtMs(index)).isLessThanOrEqualTo(from.sampledAtMs(index));
		}
	}

	@Test
	void digestIsBoundedAndSendsTheLargestChangesFirst() {
		LoadDigest digest = new LoadDigest(IntStream.range(0, 600).mapToObj((index) -> "s" + index).toList());
		DigestLink link = new DigestLink(digest);
		IntStream.range(0, 600).forEach((index) -> digest.offer(index, 100, false, 1_000));
		assertThat(link.encode(1_000, 1_200)).hasSizeLessThan(1_000);
		IntStream.range(0, 600).forEach((index) -> digest.offer(index, (index == 7) ? 200 : 103, false, 1_500));
		LoadDigest receiver = new LoadDigest(digest.serverIds());
		byte[] message = link.encode(1_500, 100);
		assertThat(message).hasSizeLessThanOrEqualTo(100);
		new DigestLink(receiver).decode(message, 1_500);
		assertThat(receiver.step(7)).isEqualTo(200);
	}

	@Test
	void malformedMessageIsRejected() {
		DigestLink link = new DigestLink(new LoadDigest(List.of("s1", "s2")));
		assertThatIllegalArgumentException().isThrownBy(() -> link.decode(new byte[] { 0, 9, 1, 3 }, 0));
	}

}
