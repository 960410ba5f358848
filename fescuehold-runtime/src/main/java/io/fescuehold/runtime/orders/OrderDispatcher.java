package io.fescuehold.runtime.orders;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.fescuehold.config.ModelServerSpec;
import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.error.RunStatus;
import io.fescuehold.core.port.FleetViews;
import io.fescuehold.core.port.SharedState;
import io.fescuehold.core.state.StateCommand;
import io.fescuehold.core.state.StateOutcome;
import io.fescuehold.core.view.FleetView;
import io.netty.buffer.Unpooled;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/**
 * Sends orders to model servers. Each order is sent under a lease and carries its fencing
 * number. An order times out well before its lease expires, so that a server that ignores
 * fencing numbers never receives orders from two hosts at once.
 */
public final class OrderDispatcher {

	private static final long LEASE_MS = 10_000;

	// The remaining half of the lease covers clock drift and orders in transit.
	private static final long USABLE_LEASE_MS = LEASE_MS / 2;

	private static final int HTTP_OK = 200;

	private static final int HTTP_PRECONDITION_FAILED = 412;

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final String hostId;

	private final FleetViews views;

	private final SharedState state;

	private final Scheduler scheduler;

	private final HttpClient http;

	private final Map<String, Boolean> serversWithActiveOrder = new ConcurrentHashMap<>();

	/**
	 * Creates a dispatcher.
	 * @param hostId the id of this host, which acquires the leases
	 * @param views the configuration in force
	 * @param state grants the leases
	 * @param scheduler the clock that measures how long a lease has been used, and the
	 * timer of the time-out
	 */
	public OrderDispatcher(String hostId, FleetViews views, SharedState state, Scheduler scheduler) {
		this.hostId = hostId;
		this.views = views;
		this.state = state;
		this.scheduler = scheduler;
		// Each order uses a new connection: waiting on a pooled connection that no longer
		// responds would use up the lease.
		this.http = HttpClient.create(ConnectionProvider.newConnection()).disableRetry(true);
	}

	/**
	 * Sends an order.
	 * @param share the share that owns the server
	 * @param order the order
	 * @return the result; fails with code NOT_FOUND, ORDER_HELD, ORDER_REFUSED (not run),
	 * NO_QUORUM or SERVER_FAILED (may have run; the same order can be sent again)
	 */
	public Mono<OrderResult> send(String share, ServerOrder order) {
		return Mono.defer(() -> {
			FleetView.Owned<ModelServerSpec> owned = this.views.current().modelServers().get(order.serverId());
			if (owned == null || !owned.share().equals(share)) {
				throw new FescueholdException(ErrorCode.NOT_FOUND,
						"model server " + order.serverId() + " of share " + share);
			}
			if (this.serversWithActiveOrder.putIfAbsent(order.serverId(), true) != null) {
				throw orderHeld(this.hostId, USABLE_LEASE_MS);
			}
			return send(share, owned.spec(), order)
				.doFinally((signal) -> this.serversWithActiveOrder.remove(order.serverId()));
		});
	}

	private Mono<OrderResult> send(String share, ModelServerSpec spec, ServerOrder order) {
		long requestedAtMs = nowMs();
		StateCommand acquire = new StateCommand.AcquireOrderLease(order.serverId(), this.hostId, spec.checksFencing(),
				LEASE_MS, requestedAtMs);
		return this.state.apply(share, acquire).flatMap((outcome) -> switch (outcome) {
			case StateOutcome.LeaseGranted granted -> dispatch(spec, order, granted.fencingNumber(), requestedAtMs);
			case StateOutcome.LeaseHeld heldBy -> Mono.error(orderHeld(heldBy.holder(), heldBy.retryAfterMs()));
			case StateOutcome.SubmissionRefused refused ->
				Mono.error(new FescueholdException(ErrorCode.ORDER_REFUSED, order.serverId(), refused.message()));
			default -> Mono.error(new IllegalStateException("Unexpected outcome of a lease request: " + outcome));
		});
	}

	private Mono<OrderResult> dispatch(ModelServerSpec spec, ServerOrder order, long fencingNumber,
			long requestedAtMs) {
		long remainingMs = requestedAtMs + USABLE_LEASE_MS - nowMs();
		if (remainingMs <= 0) {
			// This process was suspended after it requested the lease.
			return Mono.error(orderHeld(this.hostId, LEASE_MS));
		}
		String body = MAPPER.createObjectNode().put("kind", order.kind()).put("name", order.name()).toString();
		return this.http
			.headers((headers) -> headers.set("Content-Type", "application/json")
				.set("Fescuehold-Fencing-Number", fencingNumber))
			.post()
			.uri("http://" + spec.host() + ":" + spec.port() + "/orders")
			.send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(body.getBytes(StandardCharsets.UTF_8))))
			.response()
			.map((response) -> response.status().code())
			.timeout(Duration.ofMillis(remainingMs), this.scheduler)
			.onErrorMap((error) -> FescueholdException.of(ErrorCode.SERVER_FAILED, RunStatus.UNKNOWN, 0,
					order.serverId(), "no answer to an order (" + error.getMessage() + ")"))
			.flatMap((status) -> toResult(order, fencingNumber, status));
	}

	private static Mono<OrderResult> toResult(ServerOrder order, long fencingNumber, int status) {
		return switch (status) {
			case HTTP_OK -> Mono.just(new OrderResult(order.serverId(), fencingNumber));
			case HTTP_PRECONDITION_FAILED -> Mono.error(new FescueholdException(ErrorCode.ORDER_REFUSED,
					order.serverId(), "it has seen a higher fencing number than " + fencingNumber));
			default -> Mono.error(FescueholdException.of(ErrorCode.SERVER_FAILED, RunStatus.UNKNOWN, 0,
					order.serverId(), "HTTP status " + status + " in response to an order"));
		};
	}

	private static FescueholdException orderHeld(String holder, long retryAfterMs) {
		return FescueholdException.of(ErrorCode.ORDER_HELD, RunStatus.NO, Math.max(1, retryAfterMs), holder);
	}

	private long nowMs() {
		return this.scheduler.now(TimeUnit.MILLISECONDS);
	}

}
