package io.fescuehold.bench.experiment;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

import io.fescuehold.config.ModelServerSpec;
import io.fescuehold.config.ServerState;
import io.fescuehold.config.ShareConfig;
import io.fescuehold.core.placement.BoundedLoadPlacement;
import io.fescuehold.core.placement.ChatHint;
import io.fescuehold.core.placement.PlacementDecision;
import io.fescuehold.core.placement.PlacementPolicy;
import io.fescuehold.core.placement.PlacementRequest;
import io.fescuehold.core.placement.ServedOutcome;
import io.fescuehold.core.placement.ServerLoad;
import io.fescuehold.core.view.FleetView;
import org.HdrHistogram.Histogram;

/**
 * Simulates routers with their own policy instances and fake servers in virtual time.
 */
public final class PlacementSimulation {

	static final String SHARE = "share";

	static final String MODEL = "model";

	static final long START_TIME_MS = 1_700_000_000_000L;

	private static final long STEP_MS = 50;

	private static final long REPORT_INTERVAL_MS = 500;

	private static final long SAMPLE_INTERVAL_MS = 250;

	// Routers are divided into groups that receive a new view one after another.
	private static final int VIEW_GROUPS = 4;

	private static final long VIEW_DELAY_MS = 600;

	private static final int MAX_ATTEMPTS = 4;

	private static final long RETRY_DELAY_MS = 200;

	private static final long MAX_OUTPUT_TOKENS = 2_048;

	private static final long MAX_DECISION_NS = 100_000_000;

	private final RunOptions options;

	private final Traffic traffic;

	private final List<FakeServer> servers = new ArrayList<>();

	private final Map<String, FakeServer> serversById = new HashMap<>();

	private final List<PlacementPolicy> policies = new ArrayList<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingDouble(Event::atMs).thenComparingLong(Event::order));

	private final SortedMap<String, ModelServerSpec> specs = new TreeMap<>();

	private final FleetView[] viewsByGroup = new FleetView[VIEW_GROUPS];

	private final Deque<Map<String, ServerLoad>> reports = new ArrayDeque<>();

	private final Deque<Long> reportTimesMs = new ArrayDeque<>();

	private final Map<FakeRequest, Integer> routersByRequest = new HashMap<>();

	private final Histogram decisionTimesNs = new Histogram(MAX_DECISION_NS, 3);

	private final SkewMeter skew;

	private FleetView newestView;

	private Map<String, ServerLoad> visibleLoads = Map.of();

	private long configNumber;

	private long nextEventOrder;

	private double nowMs;

	private long promptTokens;

	private long localTokens;

	private long importedTokens;

	private long requests;

	private long unplaced;

	/**
	 * Creates a simulation.
	 * @param options the parameters of the run
	 */
	public PlacementSimulation(RunOptions options) {
		this.options = options;
		Deployment deployment = options.deployment().withGranularity(options.granularity());
		this.traffic = new Traffic(deployment, options.seed(), options.seconds());
		for (int index = 0; index < deployment.servers(); index++) {
			FakeServer server = new FakeServer(String.format("server-%03d", index), Deployment.speedFactor(index),
					options.granularity());
			this.servers.add(server);
			this.serversById.put(server.id(), server);
			this.specs.put(server.id(), spec(index, ServerState.ACTIVE));
		}
		rebuildView();
		Arrays.fill(this.viewsByGroup, this.newestView);
		this.skew = new SkewMeter(this.newestView.shares().get(SHARE).policy().loadBound());
		boolean isShared = options.policy().isShared();
		for (int router = 0; router < deployment.routers(); router++) {
			this.policies.add((isShared && router > 0) ? this.policies.getFirst()
					: options.policy()
						.create(router, deployment.routers(), this.servers, () -> this.newestView, options.tuning(),
								options.seed()));
		}
	}

	private ModelServerSpec spec(int server, ServerState state) {
		int speedFactor = Deployment.speedFactor(server);
		return new ModelServerSpec("10.0.0.1", 8000, "d" + server % 3, List.of(MODEL), state, true, true,
				Deployment.BASE_TOKENS_PER_S * speedFactor,
				(int) (Deployment.BASE_MAX_RUNNING_REQUESTS * speedFactor * this.options.granularity()),
				Deployment.BASE_CACHE_TOKENS * speedFactor);
	}

	private void rebuildView() {
		this.configNumber++;
		this.newestView = FleetView.EMPTY
			.with(new ShareConfig(SHARE, this.configNumber, null, null, null, this.specs, null, null, null));
	}

	/**
	 * Runs the simulation to its end.
	 * @return the results
	 */
	public RunResult run() {
		long endMs = this.options.seconds() * 1_000L;
		for (int chat = this.traffic.initialChats(); chat > 0; chat--) {
			FakeChat started = this.traffic.newChat();
			at((long) this.traffic.pauseMs(), () -> submit(started));
		}
		scheduleArrival();
		if (this.options.churn()) {
			new Churn(this, this.servers.size(), this.options.seed()).schedule(endMs / 4, endMs);
		}
		List<FakeRequest> done = new ArrayList<>();
		for (long stepMs = 0; stepMs < endMs; stepMs += STEP_MS) {
			if (stepMs % REPORT_INTERVAL_MS == 0) {
				report(stepMs);
			}
			while (!this.events.isEmpty() && this.events.peek().atMs < stepMs + STEP_MS) {
				Event event = this.events.poll();
				this.nowMs = event.atMs;
				event.action.run();
			}
			this.nowMs = stepMs + STEP_MS;
			for (FakeServer server : this.servers) {
				server.advance((long) this.nowMs, STEP_MS, done);
			}
			done.forEach(this::finish);
			done.clear();
			if (isMeasured() && stepMs % SAMPLE_INTERVAL_MS == 0) {
				this.skew.sample(this.servers, stepMs);
			}
		}
		return result();
	}

	private boolean isMeasured() {
		return this.nowMs >= this.options.seconds() * 500L;
	}

	private void scheduleArrival() {
		double atMs = this.nowMs + this.traffic.nextArrivalMs(this.nowMs);
		this.events.add(new Event(atMs, this.nextEventOrder++, () -> {
			submit(this.traffic.newChat());
			scheduleArrival();
		}));
	}

	void at(long atMs, Runnable action) {
		this.events.add(new Event(atMs, this.nextEventOrder++, action));
	}

	FakeServer server(int index) {
		return this.servers.get(index);
	}

	void setState(int server, ServerState state) {
		String id = this.servers.get(server).id();
		if (state != null) {
			this.specs.put(id, spec(server, state));
		}
		else {
			this.specs.remove(id);
		}
		rebuildView();
		FleetView view = this.newestView;
		for (int group = 0; group < VIEW_GROUPS; group++) {
			int target = group;
			at((long) this.nowMs + VIEW_DELAY_MS * group, () -> this.viewsByGroup[target] = view);
		}
	}

	void crash(int server) {
		for (FakeRequest lost : this.servers.get(server).crash()) {
			int router = this.routersByRequest.remove(lost);
			this.policies.get(router)
				.finished(lost.request(), this.servers.get(server).id(), ServedOutcome.FAILED, virtualTimeMs());
			Set<String> excluded = new HashSet<>(lost.request().excludedServerIds());
			excluded.add(this.servers.get(server).id());
			at((long) this.nowMs + RETRY_DELAY_MS, () -> attempt(lost.chat(), router, lost.request(), excluded));
		}
	}

	private long virtualTimeMs() {
		return START_TIME_MS + (long) this.nowMs;
	}

	private void report(long stepMs) {
		Map<String, ServerLoad> snapshot = new HashMap<>();
		for (FakeServer server : this.servers) {
			if (server.isUp()) {
				snapshot.put(server.id(), server.report(START_TIME_MS + stepMs));
			}
		}
		this.reports.addLast(snapshot);
		this.reportTimesMs.addLast(stepMs);
		long visibleAtMs = stepMs - Math.max(0, this.options.reportLagMs() - REPORT_INTERVAL_MS);
		while (this.reportTimesMs.peekFirst() <= visibleAtMs) {
			this.reportTimesMs.removeFirst();
			this.visibleLoads = this.reports.removeFirst();
			if (this.reportTimesMs.isEmpty()) {
				break;
			}
		}
	}

	private void submit(FakeChat chat) {
		ChatHint hint = this.traffic.hasHint() ? chat.hint() : null;
		PlacementRequest request = new PlacementRequest(chat.id(), MODEL, this.traffic.promptTokens(chat),
				MAX_OUTPUT_TOKENS, hint, Set.of());
		if (isMeasured()) {
			this.requests++;
			this.promptTokens += request.promptTokens();
		}
		attempt(chat, this.traffic.router(chat), request, Set.of());
	}

	private void attempt(FakeChat chat, int router, PlacementRequest first, Set<String> excluded) {
		PlacementRequest request = new PlacementRequest(first.chatId(), first.model(), first.promptTokens(),
				first.maxOutputTokens(), first.hint(), excluded);
		PlacementPolicy policy = this.policies.get(router);
		long startedNs = System.nanoTime();
		PlacementDecision decision = policy.place(request, SHARE, this.viewsByGroup[router % VIEW_GROUPS],
				this.visibleLoads, virtualTimeMs());
		if (isMeasured()) {
			this.decisionTimesNs.recordValue(Math.min(MAX_DECISION_NS, System.nanoTime() - startedNs));
		}
		if (!(decision instanceof PlacementDecision.Chosen chosen)) {
			if (isMeasured()) {
				this.unplaced++;
			}
			at((long) this.nowMs + 5 * RETRY_DELAY_MS, () -> attempt(chat, router, first, Set.of()));
			return;
		}
		FakeServer server = this.serversById.get(chosen.serverId());
		if (!server.isUp()) {
			policy.finished(request, server.id(), ServedOutcome.FAILED, virtualTimeMs());
			Set<String> excludedNext = new HashSet<>(excluded);
			excludedNext.add(server.id());
			at((long) this.nowMs + RETRY_DELAY_MS / 40,
					() -> attempt(chat, router, first, (excludedNext.size() < MAX_ATTEMPTS) ? excludedNext : Set.of()));
			return;
		}
		accept(chat, router, request, chosen, server);
	}

	private void accept(FakeChat chat, int router, PlacementRequest request, PlacementDecision.Chosen chosen,
			FakeServer server) {
		FakeServer source = this.options.imports() ? this.serversById.get(chosen.kvSourceServerId()) : null;
		long local = Math.min(server.cachedTokens(chat.id()), request.promptTokens());
		FakeRequest accepted = server.accept(chat, request, this.traffic.outputTokens(), source, (long) this.nowMs);
		this.routersByRequest.put(accepted, router);
		if (isMeasured()) {
			this.localTokens += local;
			this.importedTokens += accepted.cachedTokens() - local;
		}
	}

	private void finish(FakeRequest done) {
		int router = this.routersByRequest.remove(done);
		String serverId = done.serverId();
		this.policies.get(router)
			.finished(done.request(), serverId, new ServedOutcome(true, done.cachedTokens(), done.totalTokens()),
					virtualTimeMs());
		if (done.chat()
			.recordResponse(done.totalTokens(), new ChatHint(serverId, done.totalTokens(), virtualTimeMs()))) {
			at((long) (this.nowMs + this.traffic.pauseMs()), () -> submit(done.chat()));
		}
	}

	private RunResult result() {
		double bytesPerChat = 0;
		if (this.policies.getFirst() instanceof BoundedLoadPlacement) {
			long bytes = 0;
			long chats = 0;
			for (PlacementPolicy policy : this.policies) {
				bytes += ((BoundedLoadPlacement) policy).chatMemoryBytes();
				chats += ((BoundedLoadPlacement) policy).rememberedChats();
			}
			bytesPerChat = (double) bytes / chats;
		}
		return new RunResult(this.options, this.requests, (double) this.localTokens / this.promptTokens,
				(double) this.importedTokens / this.promptTokens, this.skew.max(), this.skew.p99(),
				this.skew.aboveBoundFraction(), this.skew.meanTokens(), this.decisionTimesNs.getValueAtPercentile(50),
				this.decisionTimesNs.getValueAtPercentile(99), bytesPerChat, this.unplaced);
	}

	private record Event(double atMs, long order, Runnable action) {

	}

}
