package io.fescuehold.runtime.gateway;

import java.util.List;
import java.util.Locale;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import com.google.common.flogger.FluentLogger;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.limits.ServiceDecision;
import io.fescuehold.core.limits.ServiceRoom;
import io.fescuehold.core.prompt.PromptPart;
import io.fescuehold.core.quarantine.Attribution;
import io.fescuehold.core.servers.BackendServer;
import io.fescuehold.core.servers.ServerState;
import io.fescuehold.core.streamversion.StreamRecord;
import io.fescuehold.core.streamversion.VersionVerdict;

/**
 * Logs each decision on a request with the request id, the inputs of the decision, their
 * age and the outcome. The rate is limited by a token bucket: lines over the limit are
 * dropped and their count is logged. Part of the bucket is reserved for refusals and
 * failures.
 */
final class GatewayLog {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** Sustained limit of lines per second, about 40 KB/s. */
	private static final double LINES_PER_S = 150;

	/** Capacity of the token bucket in lines. */
	private static final double BURST_LINES = 300;

	/** Part of the capacity that is reserved for refusals and failures. */
	private static final double RESERVED_LINES = 150;

	private static final double MS_PER_S = 1_000;

	private static final int MAX_LOGGED_PARTS = 16;

	private static final long DROP_REPORT_INTERVAL_MS = 5_000;

	private final LongSupplier clockMs;

	private final GatewayBelief belief;

	private double availableLines = BURST_LINES;

	private long refilledAtMs;

	private long droppedLines;

	private long dropsReportedAtMs;

	GatewayLog(GatewayBelief belief, LongSupplier clockMs) {
		this.belief = belief;
		this.clockMs = clockMs;
		this.refilledAtMs = clockMs.getAsLong();
		this.dropsReportedAtMs = this.refilledAtMs;
	}

	void refused(CallerHead head, FescueholdException refusal, long tookMs) {
		if (tryAcquire(0)) {
			logger.atInfo()
				.log("request %s refused after %d ms: %s, run %s, retry after %d ms;"
						+ " configuration %d confirmed %d ms ago", head.requestId(), tookMs, refusal.getMessage(),
						refusal.run(), refusal.retryAfterMs(), this.belief.number(), this.belief.ageMs());
		}
	}

	void placed(GatewayRequest request, Dispatcher.Target target, int attempt, Supplier<String> inputs) {
		if (tryAcquire(RESERVED_LINES)) {
			logger.atInfo()
				.log("request %s attempt %d of route %s to server %s of version %s, load %d, reason %s, copy from %s,"
						+ " left %d ms, list %d%s%s", request.head().requestId(), attempt, request.route().name(),
						target.server().server().id(), target.server().server().version(), target.server().load(),
						target.reason(), (target.copyFrom() != null) ? target.copyFrom().server().id() : "none",
						request.leftMs(this.clockMs.getAsLong()), this.belief.servers().revision(),
						request.head().takesUp() ? ", takes up the stream of " + request.head().resumes()
								+ " after event " + request.head().resumeAfter() : "",
						inputs.get());
		}
	}

	void hedged(GatewayRequest request, Dispatcher.Target first, ServerState second, long afterMs) {
		if (tryAcquire(RESERVED_LINES)) {
			logger.atInfo()
				.log("request %s of route %s has no answer from server %s after %d ms; a second copy goes to server %s,"
						+ " load %d, left %d ms", request.head().requestId(), request.route().name(),
						first.server().server().id(), afterMs, second.server().id(), second.load(),
						request.leftMs(this.clockMs.getAsLong()));
		}
	}

	void held(GatewayRequest request, boolean overShare, int waiting, ServiceRoom room) {
		if (tryAcquire(RESERVED_LINES)) {
			logger.atInfo()
				.log("request %s of route %s waits for room at %s: rank %d, team %s%s, %d wait here, load %d of %d"
						+ " slots, left %d ms", request.head().requestId(), request.route().name(), request.service(),
						request.urgency(), teamName(request), overShare ? " over its share" : "", waiting, room.load(),
						room.slots(), request.leftMs(this.clockMs.getAsLong()));
		}
	}

	void notAdmitted(GatewayRequest request, ServiceDecision.Reason reason, ServiceRoom room, long waitedMs) {
		if (tryAcquire(0)) {
			logger.atInfo()
				.log("request %s of route %s finds no room at %s: %s, rank %d, team %s, waited %d ms, load %d of %d"
						+ " slots, left %d ms", request.head().requestId(), request.route().name(), request.service(),
						reason, request.urgency(), teamName(request), waitedMs, room.load(), room.slots(),
						request.leftMs(this.clockMs.getAsLong()));
		}
	}

	private static String teamName(GatewayRequest request) {
		return (request.team() != null) ? request.team().name() : "none";
	}

	void relayed(GatewayRequest request, String hostId) {
		if (tryAcquire(RESERVED_LINES)) {
			logger.atInfo()
				.log("request %s of route %s to host %s, which passes it on: this host is cut off from the servers of"
						+ " %s, left %d ms", request.head().requestId(), request.route().name(), hostId,
						request.service(), request.leftMs(this.clockMs.getAsLong()));
		}
	}

	void passedOn(GatewayRequest request) {
		if (tryAcquire(RESERVED_LINES)) {
			logger.atInfo()
				.log("request %s of route %s is passed on for another host after %d attempts, version %s",
						request.head().requestId(), request.route().name(), request.hop().attempts(),
						request.hop().version());
		}
	}

	void takenUp(GatewayRequest request, VersionVerdict verdict) {
		if (tryAcquire(0)) {
			logger.atInfo()
				.log("request %s takes up the stream of %s after event %d: %s", request.head().requestId(),
						request.head().resumes(), request.head().resumeAfter(), switch (verdict) {
							case VersionVerdict.Recorded(StreamRecord began) ->
								"version " + began.version() + ", recorded";
							case VersionVerdict.OnlyVersion(String version) ->
								"version " + version + ", no other can have begun it";
							case VersionVerdict.Unknown(String reason) -> "version unknown, " + reason;
							case VersionVerdict.Open open -> "version not decided";
						});
		}
	}

	void serverFailed(GatewayRequest request, String serverId, String what, String action) {
		if (tryAcquire(0)) {
			logger.atInfo()
				.log("request %s: server %s failed: %s; %s", request.head().requestId(), serverId, what, action);
		}
	}

	void connectionLost(GatewayRequest request, String serverId, int eventCount, long sinceFirstEventMs) {
		if (tryAcquire(0)) {
			List<PromptPart> parts = (request.head().prompt() != null) ? request.head().prompt().parts() : List.of();
			logger.atInfo()
				.log("request %s: connection to server %s lost after %d events, %d ms after the first; prompt parts %s;"
						+ " identity %s", request.head().requestId(), serverId, eventCount, sinceFirstEventMs,
						parts.stream().limit(MAX_LOGGED_PARTS).map(PromptPart::id).toList(),
						request.features().identity().id());
		}
	}

	void serverProbed(BackendServer server, int requestCount, boolean crashed) {
		if (tryAcquire(0)) {
			logger.atInfo()
				.log("Server %s of %s lost %d prompts before it answered and %s", server.id(), server.service(),
						requestCount, crashed ? "refuses connections: it has crashed" : "is not known to have crashed");
		}
	}

	void limitChanged(BackendServer server, Double limitPerS, double loadFraction) {
		if (tryAcquire(0)) {
			logger.atInfo()
				.log("Server %s of %s %s; this daemon carries %.3f of the load", server.id(), server.service(),
						(limitPerS != null) ? "names a limit of " + limitPerS + " requests/s"
								: "names no limit any more",
						loadFraction);
		}
	}

	void rests(BackendServer server, long restMs) {
		if (tryAcquire(0)) {
			logger.atInfo()
				.log("Server %s of %s wants no requests of this daemon for %d ms", server.id(), server.service(),
						restMs);
		}
	}

	void leaves(String serverId, boolean leaving) {
		if (tryAcquire(0)) {
			ServerState server = this.belief.servers().find(serverId);
			logger.atInfo()
				.log("Server %s says that it %s; the list says %s", serverId, leaving ? "leaves" : "no longer leaves",
						(server != null && server.server().leaving()) ? "the same" : "otherwise");
		}
	}

	void brittle(BackendServer server, double rejectionsPerS, boolean rejected, int load) {
		if (tryAcquire(0)) {
			logger.atInfo()
				.log("Server %s of %s is brittle and bears %s rejections/s; it %s, with %d requests outstanding",
						server.id(), server.service(), rejectionsPerS,
						rejected ? "has rejected a request" : "has rejected none", load);
		}
	}

	void quarantined(Attribution attribution, long nowMs) {
		if (tryAcquire(0)) {
			logger.atWarning()
				.log("%s %s of %s are quarantined for %d ms: crashes of servers %s are attributed to them%s",
						kind(attribution), attribution.features(), attribution.service(),
						attribution.heldUntilMs() - nowMs, attribution.serverIds(),
						attribution.ambiguous() ? ", or to others" : "");
		}
	}

	void quarantineLifted(Attribution attribution) {
		if (tryAcquire(0)) {
			logger.atWarning()
				.log("The quarantine of %s %s of %s has ended", kind(attribution).toLowerCase(Locale.ROOT),
						attribution.features(), attribution.service());
		}
	}

	private static String kind(Attribution attribution) {
		return attribution.isRequest() ? "Requests" : "Prompt parts";
	}

	void quarantineTrial(GatewayRequest request, Attribution attribution) {
		if (tryAcquire(0)) {
			logger.atWarning()
				.log("request %s is a trial of quarantined %s %s of %s", request.head().requestId(),
						kind(attribution).toLowerCase(Locale.ROOT), attribution.features(), attribution.service());
		}
	}

	void answered(GatewayRequest request, int status, long tookMs) {
		if (tryAcquire(RESERVED_LINES)) {
			logger.atInfo()
				.log("request %s of route %s answered with %d after %d ms; configuration %d",
						request.head().requestId(), request.route().name(), status, tookMs, this.belief.number());
		}
	}

	void brokenOff(GatewayRequest request, long position, Throwable error, long tookMs) {
		if (tryAcquire(0)) {
			logger.atInfo()
				.log("request %s of route %s broken off after event %d and %d ms: %s", request.head().requestId(),
						request.route().name(), position, tookMs, error.getMessage());
		}
	}

	void callerLeft(CallerHead head, long tookMs) {
		if (tryAcquire(RESERVED_LINES)) {
			logger.atInfo().log("request %s: the caller disconnected after %d ms", head.requestId(), tookMs);
		}
	}

	void failed(CallerHead head, Throwable error) {
		logger.atSevere()
			.withCause(error)
			.log("request %s failed with an unexpected error in the gateway", head.requestId());
	}

	private boolean tryAcquire(double reservedLines) {
		long nowMs = this.clockMs.getAsLong();
		this.availableLines = Math.min(BURST_LINES,
				this.availableLines + (nowMs - this.refilledAtMs) * LINES_PER_S / MS_PER_S);
		this.refilledAtMs = nowMs;
		if (this.droppedLines > 0 && nowMs - this.dropsReportedAtMs >= DROP_REPORT_INTERVAL_MS) {
			logger.atInfo()
				.log("%d log lines on requests were dropped within %d ms", this.droppedLines,
						nowMs - this.dropsReportedAtMs);
			this.dropsReportedAtMs = nowMs;
			this.droppedLines = 0;
		}
		if (this.availableLines < 1 + reservedLines) {
			this.droppedLines++;
			return false;
		}
		this.availableLines--;
		return true;
	}

}
