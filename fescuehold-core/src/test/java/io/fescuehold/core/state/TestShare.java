package io.fescuehold.core.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

import io.fescuehold.config.Claim;
import io.fescuehold.config.ConfigJson;
import io.fescuehold.config.ItemKind;
import io.fescuehold.config.ModelServerSpec;
import io.fescuehold.config.PolicySpec;
import io.fescuehold.config.Release;
import io.fescuehold.config.ServerState;
import io.fescuehold.config.ShareConfig;
import io.fescuehold.config.TeamSpec;

/**
 * A state machine with helper methods for its commands.
 */
final class TestShare {

	static final long RETENTION_S = 100;

	static final int MAX_RECORDS = 3;

	static final int MAX_ANSWER_BYTES = 10;

	private static final PolicySpec POLICY = new PolicySpec(null, null, null, null, null, null, null, RETENTION_S,
			MAX_RECORDS, MAX_ANSWER_BYTES);

	private final InMemoryCodec codec = new InMemoryCodec();

	private final List<ShareConfig> published = new ArrayList<>();

	private ShareStateMachine machine;

	private final String share;

	private long index;

	TestShare(String share) {
		this.share = share;
		this.machine = new ShareStateMachine(share, this.codec, this.published::add);
	}

	ShareStateMachine machine() {
		return this.machine;
	}

	List<ShareConfig> published() {
		return this.published;
	}

	void restart() {
		byte[] snapshot = this.machine.snapshot();
		this.machine = new ShareStateMachine(this.share, this.codec, this.published::add);
		this.machine.restore(snapshot);
	}

	CommandOutcome apply(StateCommand command) {
		return this.codec.decodeOutcome(this.machine.apply(++this.index, this.codec.encodeCommand(command)));
	}

	CommandOutcome submit(ShareConfig config, long nowMs) {
		return apply(new StateCommand.Submit(ConfigJson.canonicalBytes(config), "mere", nowMs));
	}

	void observe(ShareConfig other) {
		apply(new StateCommand.ObserveShare(ConfigJson.canonicalBytes(other)));
	}

	CommandOutcome begin(String key, String digest, long deadlineMs, long nowMs, String attemptId) {
		return apply(
				new StateCommand.BeginCall(key(key), digest, "depot", "router-1", deadlineMs, nowMs, attemptId, ""));
	}

	CommandOutcome lookup(String key, long nowMs) {
		return apply(new StateCommand.LookupCall(key(key), "digest", nowMs));
	}

	void complete(String key, long fencingNumber, String body, long nowMs) {
		apply(new StateCommand.CompleteCall(key(key), fencingNumber,
				new StoredAnswer(200, Map.of(), body.getBytes(), false), nowMs));
	}

	static CallKey key(String key) {
		return new CallKey("parts", key);
	}

	static ShareConfig config(String share, long number, String... teams) {
		return config(share, number, teams(teams), List.of(), List.of());
	}

	static ShareConfig config(String share, long number, SortedMap<String, TeamSpec> teams, List<Release> releases,
			List<Claim> claims) {
		return new ShareConfig(share, number, POLICY, teams, null, null, null, releases, claims);
	}

	static ShareConfig withServer(String share, long number, boolean checksFencing) {
		TreeMap<String, ModelServerSpec> servers = new TreeMap<>();
		servers.put("server-1", new ModelServerSpec("10.0.0.1", 8_000, "north", List.of("kowhai"), ServerState.ACTIVE,
				checksFencing, true, 4_000, 64, 1_000_000));
		return new ShareConfig(share, number, POLICY, null, null, servers, null, null, null);
	}

	static SortedMap<String, TeamSpec> teams(String... teams) {
		TreeMap<String, TeamSpec> specs = new TreeMap<>();
		for (String team : teams) {
			specs.put(team, new TeamSpec(1, 0));
		}
		return specs;
	}

	static Release release(String team, String toShare) {
		return new Release(ItemKind.TEAM, team, toShare);
	}

	static Claim claim(String team, String fromShare, long releaseNumber) {
		return new Claim(ItemKind.TEAM, team, fromShare, releaseNumber);
	}

}
