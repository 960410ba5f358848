package io.fescuehold.daemon.wiring;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

import io.fescuehold.config.ModelServerSpec;
import io.fescuehold.config.PolicySpec;
import io.fescuehold.config.ServerState;
import io.fescuehold.config.TeamSpec;
import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.error.RunStatus;
import io.fescuehold.core.limits.FairAdmission;
import io.fescuehold.core.limits.PoolPressure;
import io.fescuehold.core.limits.Priority;
import io.fescuehold.core.limits.QueueOffer;
import io.fescuehold.core.limits.RequestQueue;
import io.fescuehold.core.port.FleetViews;
import io.fescuehold.core.port.LoadReports;
import io.fescuehold.core.port.StateDump;
import io.fescuehold.core.view.FleetView;
import io.fescuehold.runtime.http.port.Admission;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;
import reactor.core.scheduler.Scheduler;

/**
 * Admits requests according to the fair shares of their teams. Requests that arrive while
 * all servers of their model are at their request limit wait in a bounded queue.
 */
public final class PoolAdmission implements Admission, StateDump {

	private static final long QUEUE_CHECK_INTERVAL_MS = 50;

	private static final int NORMAL_PRIORITY = 5;

	private final FleetViews views;

	private final LoadReports loads;

	private final FairAdmission fairness;

	private final IntSupplier routers;

	private final Scheduler scheduler;

	private final long seed;

	private final Map<PoolKey, Pool> pools = new HashMap<>();

	private Disposable queueTimer;

	/**
	 * Creates an admission control without starting it.
	 * @param views the configuration in force
	 * @param loads the newest load reports
	 * @param routers the number of live routers
	 * @param scheduler the clock and the timer
	 * @param seed the seed of the random retry times
	 */
	public PoolAdmission(FleetViews views, LoadReports loads, IntSupplier routers, Scheduler scheduler, long seed) {
		this.views = views;
		this.loads = loads;
		this.routers = routers;
		this.scheduler = scheduler;
		this.seed = seed;
		this.fairness = new FairAdmission(routers, seed);
	}

	/**
	 * Starts processing the queues.
	 */
	public void start() {
		this.queueTimer = this.scheduler.schedulePeriodically(this::processQueues, QUEUE_CHECK_INTERVAL_MS,
				QUEUE_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Stops processing the queues.
	 */
	public void stop() {
		if (this.queueTimer != null) {
			this.queueTimer.dispose();
		}
	}

	@Override
	public Mono<Permit> admit(Request request) {
		return Mono.create((sink) -> {
			synchronized (this.pools) {
				admit(request, sink);
			}
		});
	}

	private void admit(Request request, MonoSink<Permit> sink) {
		long nowMs = nowMs();
		FleetView view = this.views.current();
		FleetView.Owned<TeamSpec> team = view.teams().get(request.team());
		if (team == null || !view.shares().containsKey(request.share())) {
			sink.error(new FescueholdException(ErrorCode.UNKNOWN_TEAM, request.team()));
			return;
		}
		PoolPressure pressure = PoolPressure.of(view, request.share(), request.model(), this.loads.current());
		Priority priority = priority(request.priority());
		io.fescuehold.core.limits.Admission decision = this.fairness.admit(request.share(), request.model(),
				request.team(), team.spec(), priority, request.tokens(), pressure, nowMs);
		if (decision instanceof io.fescuehold.core.limits.Admission.Refused refused) {
			sink.error(FescueholdException.of(ErrorCode.TEAM_OVER_SHARE, RunStatus.NO,
					Math.max(1, refused.retryAfterMs()), request.team()));
			return;
		}
		PoolKey key = new PoolKey(request.share(), request.model());
		Pool pool = this.pools.computeIfAbsent(key, (k) -> new Pool(this.seed));
		if (pool.queue.size() == 0 && pool.running < capacity(view, key)) {
			sink.success(permit(key, pool));
			return;
		}
		enqueue(pool, new QueuedRequest(request, sink), team.spec().weight(), priority, nowMs);
	}

	private void enqueue(Pool pool, QueuedRequest waiting, int weight, Priority priority, long nowMs) {
		Request request = waiting.request;
		PolicySpec policy = this.views.current().shares().get(request.share()).policy();
		RequestQueue.Place place = new RequestQueue.Place(request.team(), weight, priority, request.tokens(),
				request.deadlineAtMs());
		QueueOffer<QueuedRequest> offer = pool.queue.offer(waiting, place,
				new RequestQueue.Limits(policy.maxQueuedRequests(), policy.maxQueueMs()), nowMs);
		switch (offer) {
			case QueueOffer.Refused<QueuedRequest> refused -> refuse(waiting, refused.retryAfterMs());
			case QueueOffer.Displaced<QueuedRequest> displaced -> {
				refuse(displaced.displaced(), displaced.retryAfterMs());
				waiting.sink.onDispose(() -> cancel(pool, waiting));
			}
			case QueueOffer.Queued<QueuedRequest> queued -> waiting.sink.onDispose(() -> cancel(pool, waiting));
		}
	}

	private void cancel(Pool pool, QueuedRequest waiting) {
		synchronized (this.pools) {
			pool.queue.remove(waiting);
		}
	}

	private Permit permit(PoolKey key, Pool pool) {
		pool.running++;
		return (usedTokens) -> {
			synchronized (this.pools) {
				pool.running--;
				processQueue(key, pool, capacity(this.views.current(), key), nowMs());
			}
		};
	}

	// Returns how many requests of a pool this router may run concurrently: twice its
	// equal share of the slots but at most all, because traffic may be uneven between
	// routers.
	private int capacity(FleetView view, PoolKey key) {
		int slots = 0;
		for (FleetView.Owned<ModelServerSpec> server : view.modelServers().values()) {
			boolean serves = server.share().equals(key.share) && server.spec().models().contains(key.model)
					&& server.spec().state() != ServerState.LEAVING;
			slots += serves ? server.spec().maxRunningRequests() : 0;
		}
		return Math.max(1, 2 * slots / Math.max(2, this.routers.getAsInt()));
	}

	private void processQueues() {
		synchronized (this.pools) {
			long nowMs = nowMs();
			FleetView view = this.views.current();
			this.pools.forEach((key, pool) -> processQueue(key, pool, capacity(view, key), nowMs));
		}
	}

	private void processQueue(PoolKey key, Pool pool, int capacity, long nowMs) {
		List<QueuedRequest> expired = pool.queue.removeExpired(nowMs);
		expired.forEach((waiting) -> refuse(waiting, QUEUE_CHECK_INTERVAL_MS));
		while (pool.running < capacity) {
			QueuedRequest next = pool.queue.poll(nowMs);
			if (next == null) {
				return;
			}
			next.sink.success(permit(key, pool));
		}
	}

	private static void refuse(QueuedRequest waiting, long retryAfterMs) {
		waiting.sink.error(FescueholdException.of(ErrorCode.OVERLOADED, RunStatus.NO, Math.max(1, retryAfterMs),
				waiting.request.model()));
	}

	private static Priority priority(int value) {
		if (value < NORMAL_PRIORITY) {
			return Priority.HIGH;
		}
		return (value == NORMAL_PRIORITY) ? Priority.NORMAL : Priority.LOW;
	}

	private long nowMs() {
		return this.scheduler.now(TimeUnit.MILLISECONDS);
	}

	@Override
	public String dumpName() {
		return "admission";
	}

	@Override
	public Object dump() {
		synchronized (this.pools) {
			Map<String, Map<String, Integer>> dump = new HashMap<>();
			this.pools.forEach((key, pool) -> dump.put(key.share + "/" + key.model,
					Map.of("running", pool.running, "queued", pool.queue.size())));
			return dump;
		}
	}

	private record PoolKey(String share, String model) {

	}

	private record QueuedRequest(Request request, MonoSink<Permit> sink) {

	}

	private static final class Pool {

		private final RequestQueue<QueuedRequest> queue;

		private int running;

		Pool(long seed) {
			this.queue = new RequestQueue<>(seed);
		}

	}

}
