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
 * Places one chat request on model servers, first and after failures.
 */
final class ModelPlacement {

	private static final long NO_SERVER_RETRY_MS = 1_000;

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
	 * Chooses a server.
	 * @param generatedTokens the tokens generated so far, which have become prompt
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
			case PlacementDecision.None() -> throw none(view);
		};
	}

	private Target target(FleetView view, PlacementRequest request, PlacementDecision.Chosen chosen) {
		FleetView.Owned<ModelServerSpec> owned = view.modelServers().get(chosen.serverId());
		if (owned == null) {
			throw new IllegalStateException(
					"Placement chose server " + chosen.serverId() + ", which is not in the view");
		}
		this.attempts++;
		return new Target(chosen.serverId(), owned.spec(), this.context.pool(owned.spec()), request,
				chosen.kvSourceServerId());
	}

	private FescueholdException none(FleetView view) {
		boolean offered = view.modelServers()
			.values()
			.stream()
			.anyMatch((owned) -> owned.share().equals(this.share) && owned.spec().models().contains(this.body.model()));
		return (offered)
				? FescueholdException.of(ErrorCode.NO_SERVER, RunStatus.NO, NO_SERVER_RETRY_MS, this.body.model())
				: new FescueholdException(ErrorCode.UNKNOWN_MODEL, this.body.model());
	}

	/**
	 * Imports the chat's KV cache if the placement asks for it.
	 * @param target the importing server
	 * @return completes once the import is done, has failed or takes too long
	 */
	Mono<Void> prepare(Target target) {
		FleetView.Owned<ModelServerSpec> source = (target.kvSourceServerId() != null)
				? this.context.view().modelServers().get(target.kvSourceServerId()) : null;
		if (source == null || this.caller.chatId() == null) {
			return Mono.empty();
		}
		return ModelServerClient.pullCache(target.pool(), this.caller.chatId(), source.spec().host(),
				source.spec().port());
	}

	/**
	 * Returns the headers of the next request.
	 * @return the headers
	 */
	Map<String, String> headers() {
		Map<String, String> headers = new HashMap<>();
		headers.put("X-Chat-Id", this.caller.placementChatId());
		headers.put("X-Request-Id", this.caller.requestId());
		headers.put("X-Deadline-Ms", String.valueOf(this.context.until(this.deadlineAtMs).toMillis()));
		if (this.attempts > 1) {
			headers.put("Fescuehold-Attempt", String.valueOf(this.attempts));
		}
		return headers;
	}

	/**
	 * Notes that a server failed the request, which is then not placed there again.
	 * @param target the server
	 */
	void failed(Target target) {
		this.excluded.add(target.serverId());
		finished(target, ServedOutcome.FAILED);
	}

	/**
	 * Notes that the request has ended at a server.
	 * @param target the server
	 * @param outcome how it ended
	 */
	void finished(Target target, ServedOutcome outcome) {
		this.context.placement().finished(target.request(), target.serverId(), outcome, this.context.nowMs());
	}

	/**
	 * Allows the servers that failed before.
	 * @return whether there were any
	 */
	boolean clearExclusions() {
		boolean any = !this.excluded.isEmpty();
		this.excluded.clear();
		return any;
	}

	/**
	 * A chosen server.
	 *
	 * @param serverId the id
	 * @param spec the configuration
	 * @param pool the connections
	 * @param request the placement request, or null if the server was not placed by this
	 * router
	 * @param kvSourceServerId the server to import the KV cache from, or null
	 */
	record Target(String serverId, ModelServerSpec spec, BackendPool pool, PlacementRequest request,
			String kvSourceServerId) {

	}

}
