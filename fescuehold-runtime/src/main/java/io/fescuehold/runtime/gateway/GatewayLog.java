package io.fescuehold.runtime.gateway;

import java.util.function.LongSupplier;

import com.google.common.flogger.FluentLogger;
import io.fescuehold.core.error.FescueholdException;

/**
 * One line for each decision on a request, with its id, the inputs that decided and their
 * age, and the outcome. The number of lines is bounded: beyond the bound lines are
 * counted and the count is logged, refusals and failures before successes.
 */
final class GatewayLog {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** Lines per second that are written at most, about 40 KB/s. */
	private static final double LINES_PER_S = 150;

	/** Lines that may be written at once after a quiet time. */
	private static final double BURST_LINES = 300;

	/** The part of the burst that is kept for refusals and failures. */
	private static final double RESERVED_LINES = 150;

	private static final double MS_PER_S = 1_000;

	private static final long REPORT_MS = 5_000;

	private final LongSupplier clockMs;

	private final GatewayBelief belief;

	private double lines = BURST_LINES;

	private long refilledMs;

	private long dropped;

	private long reportedMs;

	GatewayLog(GatewayBelief belief, LongSupplier clockMs) {
		this.belief = belief;
		this.clockMs = clockMs;
		this.refilledMs = clockMs.getAsLong();
		this.reportedMs = this.refilledMs;
	}

	void refused(CallerHead head, FescueholdException refusal, long tookMs) {
		if (permit(0)) {
			logger.atInfo()
				.log("request %s refused after %d ms: %s, run %s, retry after %d ms; configuration %d of %d ms ago",
						head.requestId(), tookMs, refusal.getMessage(), refusal.run(), refusal.retryAfterMs(),
						this.belief.number(), this.belief.ageMs());
		}
	}

	void placed(GatewayRequest request, Dispatcher.Target target, int attempt) {
		if (permit(RESERVED_LINES)) {
			logger.atInfo()
				.log("request %s attempt %d of route %s to server %s, load %d, reason %s, copy from %s, left %d ms,"
						+ " list %d", request.head().requestId(), attempt, request.route().name(),
						target.server().server().id(), target.server().load(), target.reason(),
						(target.copyFrom() != null) ? target.copyFrom().server().id() : "none",
						request.leftMs(this.clockMs.getAsLong()), this.belief.servers().revision());
		}
	}

	void serverFailed(GatewayRequest request, String serverId, String what, String action) {
		if (permit(0)) {
			logger.atInfo()
				.log("request %s: server %s failed: %s; %s", request.head().requestId(), serverId, what, action);
		}
	}

	void answered(GatewayRequest request, int status, long tookMs) {
		if (permit(RESERVED_LINES)) {
			logger.atInfo()
				.log("request %s of route %s answered with %d after %d ms; configuration %d",
						request.head().requestId(), request.route().name(), status, tookMs, this.belief.number());
		}
	}

	void brokenOff(GatewayRequest request, long position, Throwable error, long tookMs) {
		if (permit(0)) {
			logger.atInfo()
				.log("request %s of route %s broken off after event %d and %d ms: %s", request.head().requestId(),
						request.route().name(), position, tookMs, error.getMessage());
		}
	}

	void callerLeft(CallerHead head, long tookMs) {
		if (permit(RESERVED_LINES)) {
			logger.atInfo().log("request %s: the caller left after %d ms", head.requestId(), tookMs);
		}
	}

	void failed(CallerHead head, Throwable error) {
		logger.atSevere().withCause(error).log("request %s failed in the gateway", head.requestId());
	}

	private boolean permit(double reserved) {
		long nowMs = this.clockMs.getAsLong();
		this.lines = Math.min(BURST_LINES, this.lines + (nowMs - this.refilledMs) * LINES_PER_S / MS_PER_S);
		this.refilledMs = nowMs;
		if (this.dropped > 0 && nowMs - this.reportedMs >= REPORT_MS) {
			logger.atInfo().log("%d lines on requests were dropped in %d ms", this.dropped, nowMs - this.reportedMs);
			this.reportedMs = nowMs;
			this.dropped = 0;
		}
		if (this.lines < 1 + reserved) {
			this.dropped++;
			return false;
		}
		this.lines--;
		return true;
	}

}
