package io.fescuehold.runtime.admin;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.fescuehold.config.ConfigException;
import io.fescuehold.config.ConfigJson;
import io.fescuehold.config.ShareConfig;
import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.port.StateDump;
import io.fescuehold.core.state.ShareDelta;
import io.fescuehold.core.state.StateOutcome;
import io.fescuehold.runtime.control.ConfigFeed;
import io.fescuehold.runtime.control.ControlMessage;
import io.fescuehold.runtime.control.MembershipChange;
import io.fescuehold.runtime.control.SharedStateClient;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * The operations of the administration API, without HTTP and authentication.
 */
final class AdminOperations {

	private static final JsonMapper MAPPER = JsonMapper.builder().build();

	private final SharedStateClient client;

	private final ConfigFeed feed;

	private final Supplier<Collection<String>> shares;

	private final Supplier<Collection<StateDump>> dumps;

	private final MetricRegistry metrics;

	private final Runnable drain;

	AdminOperations(SharedStateClient client, ConfigFeed feed, Supplier<Collection<String>> shares,
			Supplier<Collection<StateDump>> dumps, MetricRegistry metrics, Runnable drain) {
		this.client = client;
		this.feed = feed;
		this.shares = shares;
		this.dumps = dumps;
		this.metrics = metrics;
		this.drain = drain;
	}

	Mono<AdminAnswer> submit(String share, byte[] body, String operator) {
		return Mono.fromSupplier(() -> readConfig(body))
			.flatMap((config) -> this.client.submit(share, ConfigJson.canonicalBytes(config), operator)
				.map((outcome) -> submitResponse(config, outcome)));
	}

	private static ShareConfig readConfig(byte[] body) {
		try {
			MAPPER.readTree(body);
		}
		catch (IOException ex) {
			throw new FescueholdException(ErrorCode.BAD_REQUEST, "The body", "it is not JSON: " + firstLine(ex),
					"correct the syntax");
		}
		return ConfigJson.read(body);
	}

	private static String firstLine(IOException error) {
		return error.getMessage().lines().findFirst().orElse("");
	}

	private static AdminAnswer submitResponse(ShareConfig config, StateOutcome outcome) {
		return switch (outcome) {
			case StateOutcome.Submitted submitted -> AdminAnswer.json(AdminAnswer.OK, submitted);
			case StateOutcome.SubmissionConflict conflict -> {
				Map<String, Object> extras = new TreeMap<>();
				extras.put("winnerDigest", conflict.winnerDigest());
				extras.put("winnerOperator", conflict.winnerOperator());
				extras.put("winnerAcceptedAtMs", conflict.winnerAcceptedAtMs());
				extras.put("currentNumber", conflict.currentNumber());
				ErrorCode code = ErrorCode.SUBMISSION_CONFLICT;
				yield AdminAnswer.problem(code,
						code.message(conflict.number(), conflict.winnerDigest(), conflict.winnerOperator()), extras);
			}
			case StateOutcome.SubmissionRefused refused -> refusalResponse(refused);
			default ->
				throw new IllegalStateException("Unexpected outcome of submission " + config.number() + ": " + outcome);
		};
	}

	private static AdminAnswer refusalResponse(StateOutcome.SubmissionRefused refused) {
		ErrorCode code = ErrorCode.valueOf(refused.errorCode());
		String detail = (code == ErrorCode.SUBMISSION_INVALID) ? code.message(refused.pointer(), refused.message())
				: refused.message();
		return AdminAnswer.problem(code, detail, Map.of("pointer", refused.pointer()));
	}

	/**
	 * Creates the response to a body that is not a valid configuration.
	 * @param error the error
	 * @return the response
	 */
	static AdminAnswer invalidConfig(ConfigException error) {
		return AdminAnswer.problem(ErrorCode.SUBMISSION_INVALID, error.getMessage(),
				Map.of("pointer", error.pointer()));
	}

	Mono<AdminAnswer> dryRun(String share, byte[] body) {
		return Mono.fromSupplier(() -> readConfig(body))
			.flatMap((config) -> this.client.dryRun(share, ConfigJson.canonicalBytes(config)))
			.map(AdminOperations::dryRunResponse);
	}

	private static AdminAnswer dryRunResponse(ControlMessage.DryRunResult result) {
		if (result.refusal() instanceof StateOutcome.SubmissionRefused refused) {
			return refusalResponse(refused);
		}
		ShareDelta delta = result.delta();
		Map<String, Object> changed = new TreeMap<>();
		delta.changed().forEach((pointer, json) -> changed.put(pointer, parse(json)));
		Map<String, Object> body = new TreeMap<>();
		body.put("fromNumber", delta.fromNumber());
		body.put("number", delta.number());
		body.put("digest", delta.digest());
		body.put("changed", changed);
		body.put("removed", delta.removed());
		return AdminAnswer.json(AdminAnswer.OK, body);
	}

	private static JsonNode parse(String json) {
		try {
			return MAPPER.readTree(json);
		}
		catch (IOException ex) {
			throw new IllegalStateException("A changed value of a dry run is not JSON", ex);
		}
	}

	Mono<AdminAnswer> read(String share) {
		return this.client.read(share)
			.map((read) -> configResponse(ConfigJson.read(read.configJson()), read.digest(), true));
	}

	Mono<AdminAnswer> readStale(String share) {
		return Mono.fromSupplier(() -> {
			ShareConfig config = this.feed.current().shares().get(share);
			if (config == null) {
				throw new FescueholdException(ErrorCode.NOT_FOUND, "share " + share);
			}
			return configResponse(config, ConfigJson.digest(config), false);
		});
	}

	private static AdminAnswer configResponse(ShareConfig config, String digest, boolean current) {
		return AdminAnswer.json(ConfigJson.print(config), Map.of("Fescuehold-Number", Long.toString(config.number()),
				"Fescuehold-Digest", digest, "Fescuehold-Current", Boolean.toString(current)));
	}

	Mono<AdminAnswer> status() {
		Mono<Map<String, Object>> groups = Flux.fromIterable(this.shares.get())
			.flatMap((share) -> this.client.groupStatus(share).map((status) -> Map.entry(share, groupStatus(status))))
			.collect(TreeMap::new, (map, entry) -> map.put(entry.getKey(), entry.getValue()));
		return groups.zipWith(this.feed.inForce(),
				(shares, inForce) -> AdminAnswer.json(AdminAnswer.OK, Map.of("shares", shares, "inForce", inForce)));
	}

	private static Object groupStatus(Map<String, ControlMessage.GroupStatus> status) {
		Map<String, Object> group = new TreeMap<>();
		// The members are taken from the replica that reports itself as the leader,
		// because it knows the newest membership.
		status.forEach((hostId, replica) -> {
			if (hostId.equals(replica.leaderHostId())) {
				group.put("leader", hostId);
				group.put("members", replica.members());
			}
		});
		group.put("replicas", status);
		return group;
	}

	Mono<AdminAnswer> changeMembership(String share, byte[] body) {
		return Mono.fromSupplier(() -> readChange(share, body))
			.flatMap(this.client::changeMembership)
			.map((result) -> AdminAnswer.json(AdminAnswer.OK, Map.of("result", result)));
	}

	private static MembershipChange readChange(String share, byte[] body) {
		JsonNode tree;
		try {
			tree = MAPPER.readTree(body);
		}
		catch (IOException ex) {
			throw new FescueholdException(ErrorCode.BAD_REQUEST, "The body", "it is not JSON: " + firstLine(ex),
					"correct the syntax");
		}
		MembershipChange.Kind kind = readKind(readText(tree, "kind", true));
		boolean replace = kind == MembershipChange.Kind.REPLACE;
		return new MembershipChange(share, kind, readText(tree, "requestId", true), readText(tree, "hostId", true),
				readText(tree, "replacedHostId", replace));
	}

	private static MembershipChange.Kind readKind(String value) {
		try {
			return MembershipChange.Kind.valueOf(value.toUpperCase(Locale.ROOT));
		}
		catch (IllegalArgumentException ex) {
			throw new FescueholdException(ErrorCode.BAD_REQUEST, "/kind", "it is \"" + value + "\"",
					"use add, remove or replace");
		}
	}

	private static String readText(JsonNode tree, String field, boolean required) {
		JsonNode value = tree.path(field);
		if (value.isTextual() && !value.asText().isBlank()) {
			return value.asText();
		}
		if (required || !value.isMissingNode()) {
			throw new FescueholdException(ErrorCode.BAD_REQUEST, "/" + field,
					value.isMissingNode() ? "it is missing" : "it is " + value, "set it to a string");
		}
		return null;
	}

	Mono<AdminAnswer> dump() {
		return Mono.fromSupplier(() -> {
			Map<String, Object> sections = new TreeMap<>();
			List<StateDump> components = new ArrayList<>(this.dumps.get());
			components.forEach((component) -> sections.put(component.dumpName(), dumpSection(component)));
			return AdminAnswer.json(AdminAnswer.OK, sections);
		});
	}

	private static Object dumpSection(StateDump component) {
		try {
			return component.dump();
		}
		catch (RuntimeException ex) {
			// Dumps are taken to diagnose faults, so a component that fails must not
			// hide the other sections.
			return "failed: " + ex;
		}
	}

	Mono<AdminAnswer> metrics() {
		return Mono.fromSupplier(() -> AdminAnswer.json(AdminAnswer.OK, MetricsJson.of(this.metrics)));
	}

	Mono<AdminAnswer> drain() {
		return Mono.fromSupplier(() -> {
			this.drain.run();
			return AdminAnswer.json(AdminAnswer.ACCEPTED, Map.of("draining", true));
		});
	}

}
