package io.fescuehold.bench.experiment;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

import io.fescuehold.bench.CommandArguments;
import io.fescuehold.core.relay.DigestLink;
import io.fescuehold.core.relay.LinkBudget;
import io.fescuehold.core.relay.LoadDigest;
import io.fescuehold.core.relay.LoadScale;
import io.fescuehold.core.relay.PollAssignment;
import io.fescuehold.core.relay.RelayHost;
import io.fescuehold.core.relay.RelayTree;
import org.HdrHistogram.Histogram;
import org.kohsuke.args4j.Option;

/**
 * Measures the size of the load digests that each host sends and the age of the samples
 * that it holds. Loads follow a mean-reverting random walk with steps of about 10 % per
 * half second.
 */
public final class DigestExperiment {

	private static final int POLL_MS = 500;

	private static final double STEP_SIGMA = 0.1;

	private static final double START_TOKENS = 8_000;

	private static final long MAX_AGE_MS = 600_000;

	private static final int WARM_UP_MS = 10_000;

	private static final int FAILURE_DOMAINS = 6;

	private static final double MS_PER_S = 1_000;

	@Option(name = "--deployment", usage = "tarawera, fiji or large")
	private String deployment = "large";

	@Option(name = "--seeds", usage = "seeds, separated by commas")
	private String seeds = "1,2,3";

	@Option(name = "--seconds", usage = "virtual time, of which the first 10 s are not measured")
	private int seconds = 40;

	@Option(name = "--fan-out", usage = "children of a host in the relay tree at most")
	private int fanOut = RelayTree.LOAD_FAN_OUT;

	private DigestExperiment() {
	}

	/**
	 * Runs the experiment.
	 * @param arguments the command line
	 */
	public static void main(String[] arguments) {
		DigestExperiment experiment = new DigestExperiment();
		CommandArguments.parse(experiment, arguments);
		System.out.println("| deployment | seed | bytes/s sent per host, mean / max | bytes/s received, mean / max"
				+ " | messages/s sent, max | sample age ms median / p99 / max |");
		System.out.println("|---|---|---|---|---|---|");
		for (String seed : experiment.seeds.split(",")) {
			System.out.println(experiment.new Run(Long.parseLong(seed)).row());
		}
	}

	/**
	 * A run with one seed.
	 */
	private final class Run {

		private final long seed;

		private final SplittableRandom random;

		private final Map<String, Host> hosts = new LinkedHashMap<>();

		private final List<String> serverIds = new ArrayList<>();

		private final double[] loads;

		private final Histogram sampleAgesMs = new Histogram(MAX_AGE_MS, 3);

		private Run(long seed) {
			this.seed = seed;
			this.random = new SplittableRandom(seed);
			Deployment size = Deployment.of(DigestExperiment.this.deployment);
			for (int server = 0; server < size.servers(); server++) {
				this.serverIds.add(String.format("server-%03d", server));
			}
			this.loads = new double[size.servers()];
			Arrays.fill(this.loads, START_TOKENS);
			List<RelayHost> relayHosts = new ArrayList<>();
			for (int router = 0; router < size.routers(); router++) {
				relayHosts.add(new RelayHost("r" + router, "d" + router % FAILURE_DOMAINS, router < size.replicas()));
			}
			RelayTree tree = new RelayTree(relayHosts, DigestExperiment.this.fanOut);
			List<String> routerIds = relayHosts.stream().map(RelayHost::hostId).toList();
			for (String id : routerIds) {
				Set<String> neighbours = new LinkedHashSet<>(tree.downstream(id));
				tree.upstream(id).stream().limit(1).forEach(neighbours::add);
				if (tree.depth(id) == 0) {
					neighbours.addAll(tree.roots());
				}
				neighbours.remove(id);
				this.hosts.put(id, new Host(neighbours, PollAssignment.serversOf(id, routerIds, this.serverIds),
						this.serverIds, this.random.nextInt(LinkBudget.MIN_INTERVAL_MS)));
			}
		}

		private String row() {
			long endMs = (long) (DigestExperiment.this.seconds * MS_PER_S);
			for (long stepMs = 0; stepMs < endMs; stepMs += 10) {
				long nowMs = stepMs;
				if (nowMs % POLL_MS == 0) {
					changeLoads();
				}
				for (Map.Entry<String, Host> entry : this.hosts.entrySet()) {
					if (nowMs % LinkBudget.MIN_INTERVAL_MS == entry.getValue().phaseMs / 10 * 10) {
						pollAndSend(entry.getKey(), entry.getValue(), nowMs);
					}
				}
				if (nowMs >= WARM_UP_MS && nowMs % 1_000 == 0) {
					this.hosts.values().forEach((host) -> host.recordAges(this.sampleAgesMs, nowMs));
				}
			}
			return format((endMs - WARM_UP_MS) / MS_PER_S);
		}

		private void changeLoads() {
			for (int server = 0; server < this.loads.length; server++) {
				double reversion = 1 - STEP_SIGMA / 4 * Math.log(this.loads[server] / START_TOKENS);
				this.loads[server] *= reversion * Math.exp(STEP_SIGMA * this.random.nextGaussian());
			}
		}

		private void pollAndSend(String id, Host host, long nowMs) {
			if (nowMs - host.polledAtMs >= POLL_MS) {
				host.polledAtMs = nowMs;
				for (int server : host.polledServers) {
					host.digest.offer(server, LoadScale.step(Math.round(this.loads[server])), false, nowMs);
				}
			}
			LinkBudget budget = LinkBudget.of(this.serverIds.size(), Math.max(1, host.links.size() - 1));
			host.links.forEach((to, link) -> {
				if (nowMs - host.sentAtMs.getOrDefault(to, Long.MIN_VALUE / 2) < budget.intervalMs()) {
					return;
				}
				byte[] message = link.encode(nowMs, budget.maxBytes());
				if (message != null) {
					host.sentAtMs.put(to, nowMs);
					host.recordSent(message.length, nowMs);
					this.hosts.get(to).receive(id, message, nowMs);
				}
			});
		}

		private String format(double measuredS) {
			double maxSent = 0;
			double maxReceived = 0;
			double maxMessages = 0;
			double sent = 0;
			double received = 0;
			for (Host host : this.hosts.values()) {
				sent += host.sentBytes / measuredS;
				received += host.receivedBytes / measuredS;
				maxSent = Math.max(maxSent, host.sentBytes / measuredS);
				maxReceived = Math.max(maxReceived, host.receivedBytes / measuredS);
				maxMessages = Math.max(maxMessages, host.messages / measuredS);
			}
			return String.format(Locale.ROOT, "| %s | %d | %.0f / %.0f | %.0f / %.0f | %.1f | %d / %d / %d |",
					DigestExperiment.this.deployment, this.seed, sent / this.hosts.size(), maxSent,
					received / this.hosts.size(), maxReceived, maxMessages, this.sampleAgesMs.getValueAtPercentile(50),
					this.sampleAgesMs.getValueAtPercentile(99), this.sampleAgesMs.getMaxValue());
		}

	}

	private static final class Host {

		private final LoadDigest digest;

		private final Map<String, DigestLink> links = new LinkedHashMap<>();

		private final Map<String, Long> sentAtMs = new HashMap<>();

		private final List<Integer> polledServers = new ArrayList<>();

		private final int phaseMs;

		private long polledAtMs = Long.MIN_VALUE / 2;

		private long sentBytes;

		private long receivedBytes;

		private long messages;

		private Host(Set<String> neighbours, List<String> polledIds, List<String> serverIds, int phaseMs) {
			this.digest = new LoadDigest(serverIds);
			neighbours.forEach((id) -> this.links.put(id, new DigestLink(this.digest)));
			polledIds.forEach((id) -> this.polledServers.add(serverIds.indexOf(id)));
			this.phaseMs = phaseMs;
		}

		private void recordSent(int bytes, long nowMs) {
			if (nowMs >= WARM_UP_MS) {
				this.sentBytes += bytes;
				this.messages++;
			}
		}

		private void receive(String from, byte[] message, long nowMs) {
			this.links.get(from).decode(message, nowMs);
			if (nowMs >= WARM_UP_MS) {
				this.receivedBytes += message.length;
			}
		}

		private void recordAges(Histogram sampleAgesMs, long nowMs) {
			for (int server = 0; server < this.digest.size(); server++) {
				if (this.digest.isKnown(server)) {
					sampleAgesMs.recordValue(nowMs - this.digest.sampledAtMs(server));
				}
			}
		}

	}

}
