package io.fescuehold.runtime.gateway;

import java.util.Map;

import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.error.RunStatus;
import io.fescuehold.core.quarantine.Attribution;
import io.fescuehold.core.servers.ServerOutcome;
import io.fescuehold.runtime.backend.BackendFailure;
import io.fescuehold.runtime.backend.BackendRequest;
import io.fescuehold.runtime.backend.BackendResponse;
import reactor.core.publisher.Mono;

/**
 * Tracks the attempts of one request: which servers were tried, whether one of them may
 * have run the request, and whether another server may be tried. A request that may have
 * run is never reported as not run.
 */
final class Attempts {

	/** Maximum number of unreachable servers before the request fails. */
	private static final int MAX_UNREACHABLE = 3;

	/** Maximum number of rejections by servers that are followed by a retry. */
	private static final int MAX_REJECTIONS = 2;

	/** A full queue has usually drained after this time. */
	private static final long REJECTED_RETRY_AFTER_MS = 150;

	/** Retry delay that callers are given when no server was reachable. */
	private static final long UNREACHABLE_RETRY_AFTER_MS = 400;

	private final Dispatcher dispatcher;

	private final QuarantineGuard guard;

	private final GatewayLog log;

	private final GatewayRequest request;

	private final AttemptTally tally;

	/** The server reserved for a second copy, until its first attempt; else null. */
	private Dispatcher.Target reserved;

	private int unreachableCount;

	private int rejectionCount;

	private boolean awaitingResponse;

	private long startedAtMs;

	private long sentAtMs;

	/** Whether late answers to other requests may arrive on the connection. */
	private boolean keptConnection;

	private final SurvivalWatch survival;

	private final Withdrawal withdrawal;

	private Dispatcher.Target target;

	/** The server behind the host that passes the request on, or null. */
	private String relayedServerId;

	private final StreamBinding binding = new StreamBinding();

	private final AttemptRetries retries;

	Attempts(Dispatcher dispatcher, GatewayLog log, GatewayRequest request) {
		this(dispatcher, log, request, new AttemptTally((request.hop() != null) ? request.hop().attempts() : 0));
		if (request.hop() != null) {
			this.binding.toVersion(request.hop().version());
		}
	}

	private Attempts(Dispatcher dispatcher, GatewayLog log, GatewayRequest request, AttemptTally tally) {
		this.dispatcher = dispatcher;
		this.guard = dispatcher.quarantineGuard();
		this.withdrawal = new Withdrawal(this.guard);
		this.survival = new SurvivalWatch(this, this.guard, log);
		this.log = log;
		this.request = request;
		this.tally = tally;
		this.retries = new AttemptRetries(dispatcher, request, tally, this.binding);
	}

	/**
	 * Begins a second copy of the request, if it may have one now.
	 * @return the attempts of the second copy, or null
	 */
	Attempts secondCopy() {
		if (this.target == null || this.target.relay() || this.withdrawal.isByStop()) {
			return null;
		}
		Dispatcher.Target second = this.dispatcher.hedging()
			.reserve(this.request, this.target, this.tally, this.dispatcher);
		if (second == null) {
			return null;
		}
		Attempts copy = new Attempts(this.dispatcher, this.log, this.request, this.tally);
		copy.reserved = second;
		this.tally.secondCopyBegins(this.awaitingResponse);
		return copy;
	}

	/**
	 * Records how long the current server took to answer, or to send the first event.
	 */
	void recordAnswerTime() {
		this.dispatcher.hedging().recordTime(this.request, this.target, this.dispatcher.nowMs() - this.startedAtMs);
	}

	/**
	 * Chooses the next server.
	 * @return the server
	 */
	Dispatcher.Target next() {
		Attribution quarantined = this.guard.check(this.request);
		if (quarantined != null) {
			this.withdrawal.byQuarantine(quarantined);
		}
		if (quarantined != null || this.withdrawal.isByStop()) {
			throw withdrawalError();
		}
		this.target = choose();
		this.tally.add(1);
		this.awaitingResponse = false;
		this.survival.renew();
		this.withdrawal.renew();
		this.tally.tried().add(serverId());
		return this.target;
	}

	private Dispatcher.Target choose() {
		if (this.reserved != null) {
			Dispatcher.Target second = this.reserved;
			this.reserved = null;
			return second;
		}
		Dispatcher.Target relay = this.dispatcher.relays()
			.choose(this.request, this.tally.tried(), this.binding.current());
		if (relay != null) {
			return relay;
		}
		try {
			return this.dispatcher.choose(this.request, this.tally.attempts() + 1, this.tally.tried(),
					this.binding.current());
		}
		catch (FescueholdException refusal) {
			throw this.tally.mayHaveRun() ? runUnknown(refusal.getMessage()) : refusal;
		}
	}

	private FescueholdException runUnknown(String reason) {
		return FescueholdException.of(ErrorCode.SERVER_FAILED, RunStatus.UNKNOWN, 0, serverId(), reason);
	}

	GatewayRequest request() {
		return this.request;
	}

	/**
	 * Returns which servers may send events of the stream.
	 * @return the binding
	 */
	StreamBinding binding() {
		return this.binding;
	}

	/**
	 * Binds the stream to the version of the current server, unless it has been bound
	 * before.
	 * @return the version, or null if it is unknown
	 */
	String bindToCurrentServer() {
		this.binding.toServer(this.dispatcher, this.request, this.target);
		return this.binding.version();
	}

	/**
	 * Records that the current attempt starts.
	 */
	void started() {
		this.startedAtMs = this.dispatcher.nowMs();
		this.dispatcher.attemptStarted(this.target);
		if (!this.target.relay()) {
			this.guard.attemptStarted(this);
		}
	}

	/**
	 * Records that an attempt has ended.
	 * @param endedTarget its server
	 */
	void ended(Dispatcher.Target endedTarget) {
		this.dispatcher.attemptEnded(endedTarget);
		if (endedTarget == this.target) {
			this.guard.attemptEnded(this);
		}
	}

	/**
	 * Returns whether the current attempt was sent to a server of its own, because the
	 * request may be to blame for a crash.
	 * @param serverId the instance id of the server
	 * @return whether it was sent there for this reason
	 */
	boolean isSuspectAt(String serverId) {
		return this.target.reason().equals(Dispatcher.Target.SUSPECTED) && serverId().equals(serverId);
	}

	Withdrawal withdrawal() {
		return this.withdrawal;
	}

	/**
	 * Returns the error of an attempt that was withdrawn.
	 * @return the error for the caller
	 */
	FescueholdException withdrawalError() {
		return this.withdrawal.error((this.target != null) ? serverId() : null,
				this.awaitingResponse || this.tally.mayHaveRun());
	}

	/**
	 * Records that the current server has sent an event of the response.
	 */
	void eventReceived() {
		if (this.survival.eventReceived(this.target, this.dispatcher.nowMs())) {
			recordAnswerTime();
		}
	}

	/**
	 * Prepares the request to the chosen server.
	 * @param resumeAfter the position after which a stream continues, or a negative
	 * number to leave it to the caller's headers
	 * @return the request
	 */
	BackendRequest prepare(long resumeAfter) {
		if (this.target.relay()) {
			RelayHop hop = new RelayHop(this.tally.attempts() - 1, this.binding.version());
			return this.dispatcher.prepareRelay(this.request, hop, resumeAfter, this::sent);
		}
		return this.dispatcher.prepare(this.request, this.target, resumeAfter, this::sent);
	}

	/**
	 * Returns whether the current attempt goes to another host that passes it on.
	 * @return whether it does
	 */
	boolean isRelayed() {
		return this.target != null && this.target.relay();
	}

	/**
	 * Judges the head of the current server's response, and records what it states if it
	 * is that server's.
	 * @param status the HTTP status
	 * @param headers the headers by lower-case name
	 * @return what the response proves
	 */
	AnswerVerdict judge(int status, Map<String, String> headers) {
		if (isRelayed()) {
			this.binding.setRelayedVersion(headers.get(RelayHop.RESPONSE_VERSION));
			this.relayedServerId = headers.get(RelayHop.RESPONSE_SERVER);
			FescueholdException refusal = RelayHop.refusal(headers, serverId());
			if (refusal != null) {
				return new AnswerVerdict.Refused(refusal);
			}
		}
		AnswerHead head = this.dispatcher.read(status, headers);
		AnswerVerdict verdict = head.judge(this.request.head().requestId(),
				isRelayed() ? this.relayedServerId : serverId(), this.keptConnection);
		boolean ofAddressedServer = switch (verdict) {
			case AnswerVerdict.Signed signed -> true;
			case AnswerVerdict.UnprovenRejection rejection -> true;
			case AnswerVerdict.NotRun(boolean otherInstance) -> !otherInstance;
			case AnswerVerdict.Unproven unproven -> false;
			case AnswerVerdict.Refused refused -> false;
		};
		if (ofAddressedServer) {
			this.dispatcher.recordResponse(this.target);
			this.dispatcher.recordStatements(this.target, this.relayedServerId, head, this.sentAtMs);
		}
		return verdict;
	}

	/**
	 * Handles the refusal of a host that was to pass the request on.
	 * @param refusal the refusal
	 * @return null to try another host or server, else the error for the caller
	 */
	FescueholdException afterRelayRefusal(FescueholdException refusal) {
		this.awaitingResponse = false;
		if (refusal.run() != RunStatus.NO) {
			this.tally.ran();
			return refusal;
		}
		this.tally.add(-1);
		if (RelayHop.isRefusalOfHost(refusal) && ++this.unreachableCount < MAX_UNREACHABLE) {
			this.dispatcher.relays().recordFailure(this.target);
			return null;
		}
		return this.tally.mayHaveRun() ? runUnknown(refusal.getMessage()) : refusal;
	}

	private void sent(boolean overKeptConnection) {
		String withheldReason = this.dispatcher.trySend(this.target);
		if (withheldReason != null) {
			throw new BackendFailure(BackendFailure.Kind.WITHHELD, withheldReason, null);
		}
		this.keptConnection = overKeptConnection;
		this.awaitingResponse = true;
		this.tally.sent();
		this.sentAtMs = this.dispatcher.nowMs();
	}

	boolean hasRetryLeft() {
		return this.retries.isLeft();
	}

	/**
	 * Reserves a retry so that a slow server can be replaced.
	 * @return whether the current attempt may be cancelled
	 */
	boolean reserveRetry() {
		return this.retries.reserve(this.target);
	}

	/**
	 * Handles a response which states that the server did not run the request.
	 * @param status the HTTP status
	 * @param replaced whether another instance responded at the server's address
	 * @return null if another server is to be tried, else the error for the caller
	 */
	FescueholdException afterRejection(int status, boolean replaced) {
		this.awaitingResponse = false;
		this.rejectionCount++;
		this.dispatcher.recordOutcome(this.request, this.target,
				replaced ? ServerOutcome.REPLACED : ServerOutcome.REJECTED);
		// A rejected attempt does not count towards the route's limit of attempts.
		this.tally.add(-1);
		FescueholdException resting = this.dispatcher.restRefusal(this.request, this.binding.current());
		if (resting != null) {
			return this.tally.mayHaveRun() ? runUnknown(resting.getMessage()) : resting;
		}
		if (this.rejectionCount <= MAX_REJECTIONS
				&& this.dispatcher.tryAcquireRetry(this.request, this.tally.attempts())) {
			this.log.serverFailed(this.request, serverId(), "not run, status " + status, "trying another server");
			return null;
		}
		return fail("it did not run the request, status " + status, ErrorCode.OVERLOADED,
				this.dispatcher.admission().retryAfterMs(this.request, REJECTED_RETRY_AFTER_MS));
	}

	/**
	 * Handles an error response of a server that ran the request.
	 * @param response the server's response
	 * @return whether another server is to be tried
	 */
	boolean retriesAfterError(BackendResponse response) {
		boolean retried = retriesAfterFailedRun();
		this.log.serverFailed(this.request, serverId(), "status " + response.status(),
				retried ? "trying another server" : "returning the response to the caller");
		return retried;
	}

	/**
	 * Handles a response whose status promises that the request has not run, from a
	 * server that may have run it. The caller would rely on the status.
	 * @param status the HTTP status
	 * @return null if another server is to be tried, else the error for the caller
	 */
	FescueholdException afterUnprovenRejection(int status) {
		boolean retried = retriesAfterFailedRun();
		String reason = "status " + status + " without the statement that the request has not run";
		this.log.serverFailed(this.request, serverId(), reason, "the request may have run, "
				+ (retried ? "trying another server" : "the caller gets " + ErrorCode.SERVER_FAILED.httpStatus()));
		return retried ? null : runUnknown(reason);
	}

	private boolean retriesAfterFailedRun() {
		this.awaitingResponse = false;
		this.tally.ran();
		this.dispatcher.recordOutcome(this.request, this.target, ServerOutcome.FAILED);
		return this.retries.tryAcquireAfterResponse(this.target);
	}

	/**
	 * Handles an attempt that failed without a usable response.
	 * @param failure the failure
	 * @return null if another server is to be tried, else the error for the caller
	 */
	FescueholdException afterFailure(Throwable failure) {
		if (failure instanceof FescueholdException refusal) {
			return refusal;
		}
		String reason = String.valueOf(failure.getMessage());
		BackendFailure.Kind kind = (failure instanceof BackendFailure known) ? known.kind() : null;
		if (kind == BackendFailure.Kind.WITHHELD) {
			this.tally.add(-1);
			this.log.serverFailed(this.request, serverId(), reason, "nothing was sent, trying another server");
			return null;
		}
		if (kind == BackendFailure.Kind.HOST_MEMORY_FULL) {
			// Neither the server is to blame nor would another attempt need less memory.
			this.tally.ran();
			return fail(reason, ErrorCode.SERVER_FAILED, 0);
		}
		boolean stalled = kind == BackendFailure.Kind.STALLED;
		boolean notSent = !this.awaitingResponse || kind == BackendFailure.Kind.NOT_SENT;
		this.awaitingResponse = false;
		if (stalled) {
			this.dispatcher.recordTimeout(this.request, this.target);
		}
		else {
			this.dispatcher.recordOutcome(this.request, this.target,
					notSent ? ServerOutcome.UNREACHABLE : ServerOutcome.FAILED);
		}
		if (notSent) {
			if (!this.target.relay() && failure instanceof BackendFailure known && known.isRefusedConnection()) {
				this.dispatcher.recordRefusedConnection(this.target);
			}
			this.unreachableCount++;
			this.tally.add(-1);
			if (this.unreachableCount < MAX_UNREACHABLE) {
				this.log.serverFailed(this.request, serverId(), reason, "nothing was sent, trying another server");
				return null;
			}
			return fail(reason, ErrorCode.NO_SERVER, UNREACHABLE_RETRY_AFTER_MS);
		}
		this.tally.ran();
		if (!stalled) {
			this.survival.connectionLost(this.target, this.dispatcher.nowMs());
		}
		if (this.retries.tryAcquireAfterFailure()) {
			this.log.serverFailed(this.request, serverId(), reason, "trying another server");
			return null;
		}
		return fail(reason, ErrorCode.SERVER_FAILED, 0);
	}

	/**
	 * Waits until the next attempt can choose its server. After a server could not be
	 * reached it may have to go to another host.
	 * @return completes when the next attempt can start
	 */
	Mono<Void> beforeRetry() {
		return (this.unreachableCount > 0) ? this.dispatcher.relays().whenChecked(this.request) : Mono.empty();
	}

	private FescueholdException fail(String reason, ErrorCode code, long retryAfterMs) {
		this.log.serverFailed(this.request, serverId(), reason,
				this.tally.mayHaveRun() ? "giving up, the request may have run" : "giving up, the request has not run");
		if (this.tally.mayHaveRun()) {
			return runUnknown(reason);
		}
		return FescueholdException.of(code, RunStatus.NO, retryAfterMs, this.request.service());
	}

	/**
	 * Returns the error for a request whose deadline has passed.
	 * @return an error that says not run only if no server may have run the request
	 */
	FescueholdException deadlineExceeded() {
		if (this.awaitingResponse) {
			this.dispatcher.recordTimeout(this.request, this.target);
		}
		if (this.awaitingResponse || this.tally.mayHaveRun()) {
			return FescueholdException.of(ErrorCode.DEADLINE_EXCEEDED, RunStatus.UNKNOWN, 0,
					this.request.deadlineAtMs() - this.request.receivedAtMs());
		}
		return FescueholdException.of(ErrorCode.NO_SERVER, RunStatus.NO, UNREACHABLE_RETRY_AFTER_MS,
				this.request.service());
	}

	/**
	 * Records a complete response.
	 * @param framed whether the response had a length or chunks. Without them its end may
	 * also be the end of the server's process.
	 */
	void served(boolean framed) {
		this.dispatcher.recordOutcome(this.request, this.target, ServerOutcome.SERVED);
		this.survival.responseEnded(this.target, framed);
	}

	String serverId() {
		return this.target.server().server().id();
	}

}
