package io.fescuehold.daemon.gateway;

import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.error.RunStatus;
import io.fescuehold.core.routes.RoutingConfig;
import io.fescuehold.core.routes.RoutingDocument;
import io.fescuehold.core.routes.RoutingFinding;
import io.fescuehold.core.routes.RoutingRules;
import io.fescuehold.core.routes.SubmissionOutcome;
import io.fescuehold.runtime.discovery.Fleet;
import io.fescuehold.runtime.gateway.Documents;
import io.fescuehold.runtime.gateway.GatewayBelief;
import io.fescuehold.runtime.gateway.RoutingCodec;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Takes the operators' configurations at this daemon and reads the newest one back. A
 * configuration is refused unless each part of it can be read and keeps to the rules. One
 * that is in force is acknowledged again, even if only an earlier version would have
 * accepted it.
 */
final class ConfigurationOrders {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final Fleet fleet;

	private final GatewayBelief belief;

	private final RoutingCodec codec;

	private final Scheduler scheduler;

	private final Mono<Void> ending;

	/**
	 * Creates the part that takes configurations.
	 * @param fleet passes configurations to the leader
	 * @param belief what this daemon obeys
	 * @param codec decodes configurations
	 * @param scheduler the thread that owns the state
	 * @param ending completes when this daemon answers the calls that are open
	 */
	ConfigurationOrders(Fleet fleet, GatewayBelief belief, RoutingCodec codec, Scheduler scheduler, Mono<Void> ending) {
		this.fleet = fleet;
		this.belief = belief;
		this.codec = codec;
		this.scheduler = scheduler;
		this.ending = ending;
	}

	/**
	 * Checks and submits a configuration.
	 * @param submitted the bytes that an operator sent
	 * @return the outcome; errors with code ROUTING_INVALID if the configuration is
	 * invalid, or with another code if it is unknown whether it takes effect
	 */
	Mono<SubmissionOutcome> submit(byte[] submitted) {
		return Mono.defer(() -> {
			RoutingConfig config = this.codec.decode(submitted);
			RoutingRules.check(config);
			Mono<SubmissionOutcome> outcome = checkReplacement(config)
				.then(Mono.defer(() -> this.fleet.submit(Documents.of(config.number(), submitted))));
			return log(untilEnded(outcome, "the outcome of configuration " + config.number()), config.number());
		}).onErrorResume((error) -> isInvalid(error) ? repeated(submitted, error) : Mono.error(error));
	}

	private Mono<SubmissionOutcome> log(Mono<SubmissionOutcome> outcomeKnown, long number) {
		return outcomeKnown
			.doOnNext((outcome) -> logger.atInfo()
				.log("Submission of configuration %d: %s; this host obeys configuration %d", number, outcome,
						this.belief.number()))
			.doOnError((error) -> !isInvalid(error), (error) -> logger.atWarning()
				.log("Submission of configuration %d has no known outcome: %s; this host obeys configuration %d",
						number, error.getMessage(), this.belief.number()));
	}

	// Only a configuration without teams opens routes, so that the others need no
	// question to the leader.
	private Mono<Void> checkReplacement(RoutingConfig config) {
		if (!config.teams().isEmpty()) {
			return Mono.empty();
		}
		return this.fleet.readNewest()
			.filter((newest) -> newest.number() > RoutingDocument.NONE.number())
			.doOnNext((newest) -> {
				RoutingFinding violation = RoutingRules
					.violationOfReplacement(this.codec.decodeAccepted(Documents.submitted(newest)), config);
				if (violation != null) {
					throw violation.toRefusal();
				}
			})
			.then();
	}

	private static boolean isInvalid(Throwable error) {
		return error instanceof FescueholdException refusal && refusal.code() == ErrorCode.ROUTING_INVALID;
	}

	private Mono<SubmissionOutcome> repeated(byte[] submitted, Throwable refusal) {
		return Mono.fromSupplier(() -> this.belief.isInForce(submitted))
			.subscribeOn(this.scheduler)
			.doOnNext((inForce) -> logger.atWarning()
				.atMostEvery(1, TimeUnit.SECONDS)
				.log("A submitted configuration is %s: %s; this host obeys configuration %d",
						inForce ? "in force and acknowledged again although it is invalid" : "refused",
						refusal.getMessage(), this.belief.number()))
			.flatMap((inForce) -> inForce ? Mono.just(SubmissionOutcome.REPEATED) : Mono.error(refusal));
	}

	/**
	 * Reads the newest configuration.
	 * @return the bytes that an operator sent, empty if there is none; errors if the
	 * newest one cannot be determined
	 */
	Mono<byte[]> readNewest() {
		return untilEnded(this.fleet.readNewest(), "the newest configuration")
			.filter((document) -> document.number() > RoutingDocument.NONE.number())
			.map(Documents::submitted);
	}

	private <T> Mono<T> untilEnded(Mono<T> call, String result) {
		Mono<T> stopped = Mono.error(() -> FescueholdException.withMessage(ErrorCode.HOST_STOPPED, RunStatus.UNKNOWN, 0,
				"This host stops before " + result + " is known; repeat the call at another host"));
		return Mono.firstWithSignal(call, this.ending.then(stopped));
	}

}
