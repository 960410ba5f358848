package io.fescuehold.daemon.gateway;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.error.RunStatus;
import io.fescuehold.core.evacuation.EvacuationOrder;
import io.fescuehold.core.evacuation.Evacuations;
import io.fescuehold.core.evacuation.LogAllowance;
import io.fescuehold.core.evacuation.RemainingSlots;
import io.fescuehold.core.servers.ServerState;
import io.fescuehold.runtime.discovery.Fleet;
import io.fescuehold.runtime.gateway.GatewayBelief;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Takes the operators' orders to evacuate failure domains at this daemon and tells what
 * is left of each service. An order that leaves a service without servers is taken too.
 */
public final class EvacuationOrders {

	/** The server list arrives with the first answer of a leader. */
	private static final long NO_LIST_RETRY_AFTER_MS = 300;

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final Fleet fleet;

	private final GatewayBelief belief;

	private final Scheduler scheduler;

	private final Mono<Void> ending;

	private final LogAllowance logAllowance = new LogAllowance();

	/**
	 * Creates the part that takes orders.
	 * @param fleet passes orders to the leader
	 * @param belief what this daemon obeys
	 * @param scheduler the thread that owns the state
	 * @param ending completes when this daemon answers the calls that are open
	 * @param metrics the registry of the metrics
	 */
	EvacuationOrders(Fleet fleet, GatewayBelief belief, Scheduler scheduler, Mono<Void> ending,
			MetricRegistry metrics) {
		this.fleet = fleet;
		this.belief = belief;
		this.scheduler = scheduler;
		this.ending = ending;
		metrics.register("evacuations.domains", (Gauge<Integer>) () -> current().domains().size());
		metrics.register("evacuations.revision", (Gauge<Long>) () -> current().revision());
	}

	private Evacuations current() {
		return this.belief.evacuations().current();
	}

	/**
	 * Takes an order.
	 * @param domain the failure domain
	 * @param begins true to begin the evacuation, false to end it
	 * @param namedDomains failure domains that exist even if no server is listed there
	 * @return the state once the order is committed and obeyed here; errors with code
	 * BAD_REQUEST or UNKNOWN_DOMAIN if the order is not taken, or with another code if it
	 * may or may not take effect
	 */
	public Mono<Status> order(String domain, boolean begins, Set<String> namedDomains) {
		Mono<Status> acknowledged = Mono.fromSupplier(() -> check(domain, begins, namedDomains))
			.subscribeOn(this.scheduler)
			.flatMap(this.fleet::evacuate)
			.map(this::status);
		Mono<Status> stopped = Mono
			.error(() -> FescueholdException.withMessage(ErrorCode.HOST_STOPPED, RunStatus.UNKNOWN, 0,
					"This host stops before the outcome of the order is known; repeat the call at another host"));
		return Mono.firstWithSignal(acknowledged, this.ending.then(stopped))
			.publishOn(this.scheduler)
			.doOnNext((status) -> logTaken(domain, begins, status))
			.doOnError((error) -> logger.atWarning()
				.atMostEvery(1, TimeUnit.SECONDS)
				.log("Order to %s an evacuation is not acknowledged: %s; this host obeys evacuations %d", verb(begins),
						error.getMessage(), current().revision()));
	}

	private EvacuationOrder check(String domain, boolean begins, Set<String> namedDomains) {
		if (domain.isBlank() || domain.length() > EvacuationOrder.MAX_DOMAIN_LENGTH) {
			throw new FescueholdException(ErrorCode.BAD_REQUEST, "The failure domain",
					"it has " + domain.length() + " characters",
					"name one with 1 to " + EvacuationOrder.MAX_DOMAIN_LENGTH);
		}
		boolean known = namedDomains.contains(domain) || this.belief.evacuations().isEvacuated(domain)
				|| this.belief.servers()
					.all()
					.stream()
					.anyMatch((server) -> server.server().failureDomain().equals(domain));
		if (!known && this.belief.servers().revision() == 0) {
			throw FescueholdException.withMessage(ErrorCode.ROUTING_STALE, RunStatus.NO, NO_LIST_RETRY_AFTER_MS,
					"This host has no server list yet and cannot tell whether the failure domain exists;"
							+ " repeat the order");
		}
		if (!known) {
			throw new FescueholdException(ErrorCode.UNKNOWN_DOMAIN, domain);
		}
		return new EvacuationOrder(domain, begins);
	}

	private void logTaken(String domain, boolean begins, Status status) {
		if (!this.logAllowance.tryAcquire(this.scheduler.now(TimeUnit.MILLISECONDS))) {
			return;
		}
		boolean serviceLost = status.services().values().stream().anyMatch((slots) -> slots.slotsLeft() == 0);
		(serviceLost ? logger.atWarning() : logger.atInfo()).log(
				"Order to %s the evacuation of %s is acknowledged with evacuations %d; slots left by service: %s;"
						+ " %d lines dropped",
				verb(begins), domain, status.revision(), status.services(), this.logAllowance.takeDropped());
	}

	private static String verb(boolean begins) {
		return begins ? "begin" : "end";
	}

	/**
	 * Returns what this daemon obeys.
	 * @return the state
	 */
	public Mono<Status> status() {
		return Mono.fromSupplier(() -> status(current())).subscribeOn(this.scheduler);
	}

	private Status status(Evacuations evacuations) {
		return new Status(evacuations.revision(), evacuations.domains(), RemainingSlots
			.byService(this.belief.servers().all().stream().map(ServerState::server).toList(), evacuations.domains()));
	}

	/**
	 * The evacuations that a daemon obeys.
	 *
	 * @param revision their revision
	 * @param domains the failure domains under evacuation
	 * @param services the slots that are left, by service
	 */
	public record Status(long revision, Set<String> domains, Map<String, RemainingSlots> services) {

	}

}
