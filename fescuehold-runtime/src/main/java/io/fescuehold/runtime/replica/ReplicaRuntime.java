package io.fescuehold.runtime.replica;

import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.Supplier;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.fescuehold.core.agreement.MembershipChange;
import io.fescuehold.core.agreement.Role;
import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.port.ReplicaGroup;
import io.fescuehold.core.port.ReplicaStorage;
import io.fescuehold.core.port.ReplicatedStateMachine;
import io.fescuehold.core.port.StateDump;
import io.fescuehold.runtime.storage.DiskStorage;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/**
 * One replica of an agreement group. An event loop runs the agreement and the state
 * machine; a disk thread writes and syncs. All public methods are thread-safe; the
 * returned publishers do nothing until they are subscribed to.
 */
public final class ReplicaRuntime implements ReplicaGroup, StateDump {

	/** The maximum size of a command in bytes; keeps a message below the frame limit. */
	public static final int MAX_COMMAND_BYTES = 4 << 20;

	private final ReplicaOptions options;

	private final MetricRegistry metrics;

	private final long seed;

	private final Supplier<ReplicaStorage> storageFactory;

	private final Scheduler diskScheduler;

	private final ReplicaDriver driver;

	private final EventLoop loop;

	private final PendingRequests pendingRequests;

	/**
	 * Creates a replica that keeps its log in the data folder.
	 * @param options the options
	 * @param transport the transport
	 * @param stateMachine the state machine
	 * @param scheduler the scheduler of the event loop; its clock must be monotonic, see
	 * {@link MonotonicScheduler}
	 * @param metrics the metric registry
	 * @param seed the seed of the election timeouts
	 */
	public ReplicaRuntime(ReplicaOptions options, AgreementTransport transport, ReplicatedStateMachine stateMachine,
			Scheduler scheduler, MetricRegistry metrics, long seed) {
		this(options, transport, stateMachine, scheduler, metrics, seed, () -> new DiskStorage(options.storeFolder()),
				Schedulers.newSingle("replica-disk-" + options.group(), true));
	}

	/**
	 * Creates a replica with a custom store.
	 * @param options the options
	 * @param transport the transport
	 * @param stateMachine the state machine
	 * @param scheduler the scheduler of the event loop
	 * @param metrics the metric registry
	 * @param seed the seed of the election timeouts
	 * @param storageFactory opens the store
	 * @param diskScheduler the scheduler of the disk thread, which this replica disposes
	 */
	public ReplicaRuntime(ReplicaOptions options, AgreementTransport transport, ReplicatedStateMachine stateMachine,
			Scheduler scheduler, MetricRegistry metrics, long seed, Supplier<ReplicaStorage> storageFactory,
			Scheduler diskScheduler) {
		this.options = options;
		this.metrics = metrics;
		this.seed = seed;
		this.storageFactory = storageFactory;
		this.diskScheduler = diskScheduler;
		this.driver = new ReplicaDriver(options, transport, stateMachine, scheduler,
				metrics.meter(metricName("applied")), metrics.counter(metricName("failures")));
		this.loop = this.driver.loop();
		this.pendingRequests = this.driver.pendingRequests();
		metrics.register(metricName("term"), (Gauge<Long>) () -> status().term());
		metrics.register(metricName("commitIndex"), (Gauge<Long>) () -> status().commitIndex());
		metrics.register(metricName("running"),
				(Gauge<Integer>) () -> (status().phase() == ReplicaStatus.Phase.RUNNING) ? 1 : 0);
		metrics.register(metricName("leading"), (Gauge<Integer>) () -> (status().role() == Role.LEADER) ? 1 : 0);
	}

	/**
	 * Opens the store, restores the state machine and joins the group.
	 * @return completes when the replica runs; errors with code STORAGE_DAMAGED or
	 * STORAGE_FAILED
	 */
	public Mono<Void> start() {
		return Mono.fromCallable(this::openStore)
			.subscribeOn(this.diskScheduler)
			.flatMap((opened) -> this.<Void>executeOnLoop((sink) -> {
				try {
					this.driver.start(opened, this.seed, this.diskScheduler, this.metrics, metricName("disk"));
				}
				catch (RuntimeException ex) {
					opened.storage().close();
					throw ex;
				}
				sink.success();
			}));
	}

	/**
	 * Hands the leadership over if this replica leads, completes the accepted writes and
	 * closes the store.
	 * @return completes when the store is closed
	 */
	public Mono<Void> stop() {
		return executeOnLoop((sink) -> {
			if (this.driver.isLeading()) {
				this.driver.node().handOver(this.loop.nowMs());
			}
			awaitHandOver(sink, this.loop.nowMs() + 2 * this.options.timing().electionTimeoutMs());
		});
	}

	@Override
	public Mono<byte[]> propose(byte[] command) {
		if (command.length > MAX_COMMAND_BYTES) {
			return Mono.error(new FescueholdException(ErrorCode.BODY_TOO_LARGE, command.length, MAX_COMMAND_BYTES));
		}
		return executeOnLoop((sink) -> {
			if (!checkRunning(sink)) {
				return;
			}
			if (this.driver.isLeading() && this.driver.storage().isFull()) {
				this.driver.makeSpace();
				sink.error(new FescueholdException(ErrorCode.STORAGE_FULL, this.options.storeFolder()));
				return;
			}
			this.driver.node().propose(this.loop.nowMs(), this.pendingRequests.addProposal(sink), command);
		});
	}

	@Override
	public Mono<Void> readBarrier() {
		return executeOnLoop((sink) -> {
			if (checkRunning(sink)) {
				this.driver.node().read(this.loop.nowMs(), this.pendingRequests.add(sink));
			}
		});
	}

	/**
	 * Changes the membership. The change is idempotent by its request id.
	 * @param change the change
	 * @return completes when the change is done; errors with code MEMBERSHIP_REFUSED,
	 * NOT_LEADER, NO_QUORUM or OUTCOME_UNKNOWN
	 */
	public Mono<Void> change(MembershipChange change) {
		return executeOnLoop((sink) -> {
			if (checkRunning(sink)) {
				this.driver.node().change(this.loop.nowMs(), this.pendingRequests.add(sink), change);
			}
		});
	}

	/**
	 * Makes a host a voter.
	 * @param requestId the request id
	 * @param hostId the host
	 * @return see {@link #change(MembershipChange)}
	 */
	public Mono<Void> add(String requestId, String hostId) {
		return change(MembershipChange.add(requestId, hostId));
	}

	/**
	 * Removes a host.
	 * @param requestId the request id
	 * @param hostId the host
	 * @return see {@link #change(MembershipChange)}
	 */
	public Mono<Void> remove(String requestId, String hostId) {
		return change(MembershipChange.remove(requestId, hostId));
	}

	/**
	 * Replaces a lost host. Both host ids are equal if the host returned with an empty
	 * disk.
	 * @param requestId the request id
	 * @param lostHostId the lost host
	 * @param newHostId the host that takes its place
	 * @return see {@link #change(MembershipChange)}
	 */
	public Mono<Void> replace(String requestId, String lostHostId, String newHostId) {
		return change(MembershipChange.replace(requestId, lostHostId, newHostId));
	}

	/**
	 * Hands the leadership over to another voter, if this replica leads.
	 * @return completes when the hand-over has begun
	 */
	public Mono<Void> handOver() {
		return executeOnLoop((sink) -> {
			if (this.driver.isLeading()) {
				this.driver.node().handOver(this.loop.nowMs());
			}
			sink.success();
		});
	}

	/**
	 * Registers a listener that is called on the event loop with the index up to which
	 * entries have been applied.
	 * @param listener the listener, which must not block
	 */
	public void onApplied(LongConsumer listener) {
		this.driver.onApplied(listener);
	}

	/**
	 * Returns a publisher of the error that stops this replica.
	 * @return emits the error once the store is closed, if a write, sync or the state
	 * machine fails
	 */
	public Mono<Throwable> failure() {
		return this.driver.failure().asMono();
	}

	/**
	 * Returns the state of the replica.
	 * @return the state after the last batch of the event loop
	 */
	public ReplicaStatus status() {
		return this.driver.status();
	}

	@Override
	public String leaderHostId() {
		return status().leaderHostId();
	}

	@Override
	public String dumpName() {
		return "agreement-" + this.options.group();
	}

	@Override
	public Object dump() {
		return status();
	}

	private ReplicaDriver.OpenedStore openStore() {
		ReplicaStorage opened = this.storageFactory.get();
		try {
			return new ReplicaDriver.OpenedStore(opened, opened.load(), opened.loadSnapshot());
		}
		catch (RuntimeException ex) {
			opened.close();
			throw ex;
		}
	}

	private void awaitHandOver(MonoSink<Void> sink, long deadlineMs) {
		boolean handOverPending = this.driver.isLeading() && this.driver.node().membership().voters().size() > 1
				&& this.loop.nowMs() < deadlineMs;
		if (handOverPending) {
			this.loop.executeAfter(this.options.timing().heartbeatMs(), () -> awaitHandOver(sink, deadlineMs));
			return;
		}
		this.driver.stop(() -> {
			this.metrics
				.removeMatching((name, metric) -> name.startsWith(metricName("")) && !(metric instanceof Counter));
			this.loop.stop();
			this.diskScheduler.dispose();
			sink.success();
		});
	}

	private boolean checkRunning(MonoSink<?> sink) {
		if (!this.driver.isRunning()) {
			sink.error(this.pendingRequests.error(ErrorCode.NOT_LEADER, status().describeLeader()));
		}
		return this.driver.isRunning();
	}

	private <T> Mono<T> executeOnLoop(Consumer<MonoSink<T>> task) {
		return Mono.create((sink) -> {
			boolean accepted = this.loop.execute(() -> {
				try {
					task.accept(sink);
				}
				catch (RuntimeException ex) {
					sink.error(ex);
				}
			});
			if (!accepted) {
				sink.error(this.pendingRequests.error(ErrorCode.NOT_LEADER, "unknown, and this replica is stopping"));
			}
		});
	}

	private String metricName(String name) {
		return "agreement." + this.options.group() + "." + name;
	}

}
