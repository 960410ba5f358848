package io.fescuehold.runtime.http;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import io.fescuehold.config.ModelServerSpec;
import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.error.RunStatus;
import io.fescuehold.core.placement.PlacementDecision;
import io.fescuehold.core.placement.PlacementRequest;
import io.fescuehold.core.placement.ServedOutcome;
import io.fescuehold.core.view.FleetView;
import io.fescuehold.runtime.backend.BackendPool;
import io.fescuehold.runtime.backend.ModelServerClient;
import reactor.core.publisher.Mono;

/**
 * Selects model servers for one chat request, for its first attempt and for retries.
 */
final class ModelPlacement {

	private static final long NO_SERVER_RETRY_AFTER_MS = 1_000;

	private final RouterContext context;

	private final CallerRequest caller;

	private final ChatBody body;

	private final String share;

	private final long deadlineAtMs;

	private final Set<String> excluded = new HashSet<>();

	private int attempts;

	ModelPlacement(RouterContext context, CallerRequest caller, ChatBody body, String share, long deadlineAtMs) {
		this.context = context;
		this.caller = caller;
		this.body = body;
		this.share = share;
		this.deadlineAtMs = deadlineAtMs;
	}

	/**
	 * Selects a server.
	 * @param generatedTokens the number of tokens generated so far, which count as prompt
	 * tokens of the new attempt
	 * @return the server
	 * @throws FescueholdException with code OVERLOADED, NO_SERVER or UNKNOWN_MODEL
	 */
	Target place(long generatedTokens) {
		FleetView view = this.context.view();
		PlacementRequest request = new PlacementRequest(this.caller.placementChatId(), this.body.model(),
				this.body.promptTokens() + generatedTokens, Math.max(1, this.body.maxOutputTokens() - generatedTokens),
				this.caller.hint(), this.excluded);
		PlacementDecision decision = this.context.placement()
			.place(request, this.share, view, this.context.ports().loads().current(), this.context.nowMs());
		return switch (decision) {
			case PlacementDecision.Chosen chosen -> target(view, request, chosen);
			case PlacementDecision.Full full -> throw FescueholdException.of(ErrorCode.OVERLOADED, RunStatus.NO,
					Math.max(1, full.retryAfterMs()), this.body.model());
			case PlacementDecision.None() -> throw noServer(view);
		};
	}

	private Target target(FleetView view, PlacementRequest request, PlacementDecision.Chosen chosen) {
		FleetView.Owned<ModelServerSpec> owned = view.modelServers().get(chosen.serverId());
		if (owned == null) {
			throw new IllegalStateException(
					"Placement chose server " + chosen.serverId() + ", which is not in the configuration");
		}
		this.attempts++;
		return new Target(chosen.serverId(), owned.spec(), this.context.pool(owned.spec()), request,
				chosen.kvSourceServerId());
	}

	private FescueholdException noServer(FleetView view) {
		boolean modelOffered = view.modelServers()
			.values()
			.stream()
			.anyMatch((owned) -> owned.share().equals(this.share) && owned.spec().models().contains(this.body.model()));
		return (modelOffered)
				? FescueholdException.of(ErrorCode.NO_SERVER, RunStatus.NO, NO_SERVER_RETRY_AFTER_MS, this.body.model())
				: new FescueholdException(ErrorCode.UNKNOWN_MODEL, this.body.model());
	}

	/**
	 * Imports the chat's KV cache if the placement names a source server.
	 * @param target the importing server
	 * @return completes once the import is done, has failed or has timed out
	 */
	Mono<Void> importCache(Target target) {
		FleetView.Owned<ModelServerSpec> source = (target.kvSourceServerId() != null)
				? this.context.view().modelServers().get(target.kvSourceServerId()) : null;
		if (source == null || this.caller.chatId() == null) {
			return Mono.empty();
		}
		return ModelServerClient.pullCache(target.pool(), this.caller.chatId(), source.spec().host(),
				source.spec().port());
	}

	/**
	 * Returns the headers of the next request to a model server.
	 * @return the headers
	 */
	Map<String, String> headers() {
		Map<String, String> headers = new HashMap<>();
		headers.put("X-Chat-Id", this.caller.placementChatId());
		headers.put("X-Request-Id", this.caller.requestId());
		headers.put("X-Deadline-Ms", String.valueOf(this.context.remaining(this.deadlineAtMs).toMillis()));
		if (this.attempts > 1) {
			headers.put("Fescuehold-Attempt", String.valueOf(this.attempts));
		}
		return headers;
	}

	/**
	 * Records that a server failed the request and excludes it from further attempts.
	 * @param target the server
	 */
	void failed(Target target) {
		this.excluded.add(target.serverId());
		finished(target, ServedOutcome.FAILED);
	}

	/**
	 * Reports the outcome of the request at a server to the placement policy.
	 * @param target the server
	 * @param outcome the outcome
	 */
	void finished(Target target, ServedOutcome outcome) {
		this.context.placement().finished(target.request(), target.serverId(), outcome, this.context.nowMs());
	}

	/**
	 * Makes the excluded servers selectable again.
	 * @return whether any server was excluded
	 */
	boolean clearExclusions() {
		boolean any = !this.excluded.isEmpty();
		this.excluded.clear();
		return any;
	}

	/**
	 * The selected server.
	 *
	 * @param serverId the id of the server
	 * @param spec the configuration of the server
	 * @param pool the connection pool of the server
	 * @param request the placement request, or null if this router did not select the
	 * server
	 * @param kvSourceServerId the server to import the KV cache from, or null
	 */
	record Target(String serverId, ModelServerSpec spec, BackendPool pool, PlacementRequest request,
			String kvSourceServerId) {

	}

}
