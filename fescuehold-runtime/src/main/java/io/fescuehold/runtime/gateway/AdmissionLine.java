package io.fescuehold.runtime.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.error.RunStatus;
import io.fescuehold.core.limits.ReturnSchedule;
import io.fescuehold.core.limits.ServiceAdmission;
import io.fescuehold.core.limits.ServiceDecision;
import io.fescuehold.core.limits.ServiceRoom;
import io.fescuehold.core.port.ServerReach;
import io.fescuehold.core.servers.RequestDemand;
import io.fescuehold.core.servers.ServerState;
import io.fescuehold.runtime.backend.BackendResponse;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;
import reactor.core.scheduler.Scheduler;

/**
 * Lets plain requests wait, or refuses them, while their service has too little room.
 * Nothing has been sent for a request that waits. Requests to model engines do not wait
 * here, because engines have a queue by rank, and neither do requests that another host
 * passes on or that this host passes on. Not thread-safe: confined to one thread.
 */
final class AdmissionLine {

	private static final long CHECK_INTERVAL_MS = 10;

	/** Requests of other hosts that were reported longer ago count as unknown. */
	private static final long LOAD_VALID_MS = 2_000;

	private static final int SERVER_ERROR = 500;

	private final boolean enabled;

	private final GatewayBelief belief;

	private final ServerReach reach;

	private final Scheduler scheduler;

	private final GatewayMetrics metrics;

	private final GatewayLog log;

	private final ReturnSchedule returns = new ReturnSchedule();

	private final Map<String, ServiceAdmission<Waiting>> services = new HashMap<>();

	private boolean checking;

	AdmissionLine(boolean enabled, GatewayBelief belief, ServerReach reach, Scheduler scheduler, GatewayMetrics metrics,
			GatewayLog log) {
		this.enabled = enabled;
		this.belief = belief;
		this.reach = reach;
		this.scheduler = scheduler;
		this.metrics = metrics;
		this.log = log;
	}

	/**
	 * Waits until a request may go on to its service.
	 * @param request the request
	 * @return completes when it may go on; errors with code TEAM_OVER_SHARE or OVERLOADED
	 * if it is refused
	 */
	Mono<Void> admit(GatewayRequest request) {
		return appliesTo(request) ? Mono.create((sink) -> offer(new Waiting(request, sink, nowMs()))) : Mono.empty();
	}

	/**
	 * Measures how fast the service answers.
	 * @param request the request
	 * @param exchange runs the request
	 * @return the response
	 */
	Mono<BackendResponse> measure(GatewayRequest request, Mono<BackendResponse> exchange) {
		if (!appliesTo(request)) {
			return exchange;
		}
		long sentAtMs = nowMs();
		ServiceRoom room = room(request.service());
		return exchange.doOnNext((response) -> {
			if (response.status() < SERVER_ERROR) {
				service(request).served(room, room(request.service()), nowMs() - sentAtMs, nowMs());
			}
		});
	}

	/**
	 * Returns when a request that all servers have rejected should be tried again.
	 * @param request the request
	 * @param defaultMs the time in milliseconds if the service is not observed
	 * @return the time in milliseconds until its service is expected to have room
	 */
	long retryAfterMs(GatewayRequest request, long defaultMs) {
		return appliesTo(request)
				? service(request).retryAfterMs(callerLeftMs(request), defaultMs, room(request.service()), nowMs())
				: defaultMs;
	}

	private boolean appliesTo(GatewayRequest request) {
		return this.enabled && !request.route().isStreaming() && request.head().prompt() == null
				&& request.hop() == null && !this.reach.isCutOff(request.service());
	}

	private ServiceAdmission<Waiting> service(GatewayRequest request) {
		return this.services.computeIfAbsent(request.service(), (name) -> {
			ServiceAdmission<Waiting> service = new ServiceAdmission<>(name, this.returns, nowMs());
			this.metrics.watchWaiting(name, service::waiting);
			return service;
		});
	}

	private void offer(Waiting waiting) {
		GatewayRequest request = waiting.request;
		ServiceAdmission<Waiting> service = service(request);
		ServiceRoom room = room(request.service());
		switch (service.offer(waiting, demand(request),
				new ServiceAdmission.Caller(request.route().name(), callerLeftMs(request)), room, nowMs())) {
			case ServiceDecision.Pass<Waiting> pass -> waiting.sink.success();
			case ServiceDecision.Refused<Waiting> refused ->
				refuse(waiting, refused.reason(), room, refused.retryAfterMs());
			case ServiceDecision.Wait<Waiting> wait -> {
				this.metrics.held(request.service());
				this.log.held(request, wait.overShare(), service.waiting(), room);
				waiting.sink.onDispose(() -> service.remove(waiting));
				if (wait.displaced() != null) {
					refuse(wait.displaced(), ServiceDecision.Reason.LINE_FULL, room, wait.displacedRetryAfterMs());
				}
				scheduleCheck();
			}
		}
	}

	private void refuse(Waiting waiting, ServiceDecision.Reason reason, ServiceRoom room, long retryAfterMs) {
		GatewayRequest request = waiting.request;
		this.metrics.notAdmitted(request.service(), reason.name());
		this.log.notAdmitted(request, reason, room, nowMs() - waiting.sinceMs);
		boolean overShare = reason == ServiceDecision.Reason.OVER_SHARE && request.team() != null;
		waiting.sink.error(overShare
				? FescueholdException.of(ErrorCode.TEAM_OVER_SHARE, RunStatus.NO, retryAfterMs, request.team().name())
				: FescueholdException.of(ErrorCode.OVERLOADED, RunStatus.NO, retryAfterMs, request.service()));
	}

	private void scheduleCheck() {
		if (!this.checking) {
			this.checking = true;
			this.scheduler.schedule(this::check, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
		}
	}

	private void check() {
		this.checking = false;
		List.copyOf(this.services.keySet()).forEach(this::check);
		if (this.services.values().stream().anyMatch((service) -> service.waiting() > 0)) {
			scheduleCheck();
		}
	}

	private void check(String name) {
		ServiceAdmission<Waiting> service = this.services.get(name);
		if (service.waiting() == 0) {
			return;
		}
		ServiceRoom room = room(name);
		for (Waiting expired : service.removeExpired(nowMs())) {
			this.metrics.waited(name, nowMs() - expired.sinceMs);
			if (service.isFree(room)) {
				expired.sink.success();
				continue;
			}
			refuse(expired, ServiceDecision.Reason.TOO_LATE, room,
					service.retryAfterMs(callerLeftMs(expired.request), CHECK_INTERVAL_MS, room, nowMs()));
		}
		Waiting next = service.next(room, nowMs());
		while (next != null) {
			this.metrics.waited(name, nowMs() - next.sinceMs);
			next.sink.success();
			next = service.next(room(name), nowMs());
		}
	}

	private ServiceRoom room(String service) {
		long nowMs = nowMs();
		List<ServerState> usable = this.belief.servers()
			.of(service)
			.stream()
			.filter((server) -> server.health().isUsable(nowMs) && this.belief.intake().leavingMs(server, nowMs) < 0
					&& !this.belief.intake().isResting(server.server().id(), nowMs)
					&& !this.belief.evacuations().isEvacuated(server.server().failureDomain()))
			.toList();
		return ServiceRoom.of(usable, Math.max(1, this.belief.hosts().size()),
				this.belief.otherRequestsAgeMs() <= LOAD_VALID_MS);
	}

	private static RequestDemand demand(GatewayRequest request) {
		return new RequestDemand(0, 0, request.urgency(), (request.team() != null) ? request.team().name() : "",
				request.route().objectiveMs(), request.deadlineAtMs());
	}

	private long callerLeftMs(GatewayRequest request) {
		long limitMs = request.head().deadlineMs();
		return (limitMs > 0) ? limitMs - (nowMs() - request.receivedAtMs()) : request.leftMs(nowMs());
	}

	private long nowMs() {
		return this.scheduler.now(TimeUnit.MILLISECONDS);
	}

	/**
	 * Returns who waits, by service, rank and team, and what is known of each service.
	 * @return the state in a form that Jackson can serialise
	 */
	Map<String, Object> dump() {
		Map<String, Object> dump = new TreeMap<>();
		this.services.forEach((name, service) -> dump.put(name, service.dump(room(name), nowMs())));
		return dump;
	}

	private record Waiting(GatewayRequest request, MonoSink<Void> sink, long sinceMs) {

		@Override
		public boolean equals(Object other) {
			return this == other;
		}

		@Override
		public int hashCode() {
			return System.identityHashCode(this);
		}

	}

}
