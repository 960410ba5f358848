package io.fescuehold.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import io.fescuehold.config.TeamSpec;
import io.fescuehold.core.limits.FairAdmission;
import io.fescuehold.core.limits.PoolPressure;
import io.fescuehold.core.limits.Priority;
import io.fescuehold.core.placement.BoundedLoadPlacement;
import io.fescuehold.core.placement.ChatHint;
import io.fescuehold.core.placement.PlacementDecision;
import io.fescuehold.core.placement.PlacementRequest;
import io.fescuehold.core.placement.ServedOutcome;
import io.fescuehold.core.placement.ServerLoad;
import io.fescuehold.core.relay.DigestLink;
import io.fescuehold.core.relay.LoadDigest;
import io.fescuehold.core.view.FleetView;

/**
 * Measures how the heap, decision times and load digests of a router grow.
 */
final class RouterSlopes {

	private static final long NOW_MS = 1_800_000_000_000L;

	private static final long PROMPT_TOKENS = 4_000;

	private static final long OUTPUT_TOKENS = 300;

	private static final int ROUTERS = 350;

	private static final int TARGET_SERVERS = 600;

	private static final int TARGET_TEAMS = 760;

	// Each of 5.1 million chats is known to two of 350 routers.
	private static final int TARGET_CHATS = 29_143;

	private static final int[] SERVERS = { 150, 300, 600 };

	private static final int[] TEAMS = { 190, 380, 760 };

	private static final int[] CHATS = { 5_000, 10_000, 20_000 };

	private static final int DECISIONS = 20_000;

	private static final int DIGEST_DURATION_S = 60;

	private static final int DIGEST_INTERVAL_MS = 250;

	private static final int MAX_DIGEST_BYTES = 2_000;

	private static final int SAMPLES_PER_S = 2;

	private static final int MAX_STEP = 63;

	private RouterSlopes() {
	}

	static List<Slope> all() {
		return List.of(
				new Slope("router heap, chats remembered", "chats", "bytes", CHATS, TARGET_CHATS,
						RouterSlopes::chatHeapBytes),
				new Slope("router heap, configuration and reports", "servers", "bytes", SERVERS, TARGET_SERVERS,
						(servers) -> Meter.heapBytes(() -> List.of(view(servers, 10), Samples.loads(servers, NOW_MS)))),
				new Slope("router heap, configuration", "teams", "bytes", TEAMS, TARGET_TEAMS,
						(teams) -> Meter.heapBytes(() -> view(10, teams))),
				new Slope("router heap, admission state", "teams", "bytes", TEAMS, TARGET_TEAMS,
						RouterSlopes::admissionHeapBytes),
				new Slope("placement decision", "servers", "us", SERVERS, TARGET_SERVERS, RouterSlopes::decisionTimeUs),
				new Slope("admission decision", "teams", "us", TEAMS, TARGET_TEAMS, RouterSlopes::admissionTimeUs),
				new Slope("view after a change", "servers", "us", SERVERS, TARGET_SERVERS,
						(servers) -> viewChangeTimeUs(servers, TARGET_TEAMS)),
				new Slope("load digest on one link", "servers", "bytes/s", SERVERS, TARGET_SERVERS,
						RouterSlopes::digestBytesPerS),
				new Slope("load digest, encode and decode", "servers", "us/s", SERVERS, TARGET_SERVERS,
						RouterSlopes::digestUsPerS));
	}

	private static FleetView view(int servers, int teams) {
		return FleetView.EMPTY.with(Samples.config(servers, teams, 1));
	}

	private static PlacementRequest request(int chat, int model) {
		return new PlacementRequest("chat-" + chat, "model-" + model, PROMPT_TOKENS, OUTPUT_TOKENS,
				new ChatHint("server-" + model, PROMPT_TOKENS, NOW_MS), Set.of());
	}

	private static double chatHeapBytes(int chats) {
		return Meter.heapBytes(() -> {
			BoundedLoadPlacement placement = new BoundedLoadPlacement("entry-1", () -> ROUTERS, 1);
			for (int chat = 0; chat < chats; chat++) {
				placement.finished(request(chat, chat % 6), "server-" + chat % TARGET_SERVERS,
						new ServedOutcome(true, PROMPT_TOKENS, PROMPT_TOKENS), NOW_MS);
			}
			return placement;
		});
	}

	private static double decisionTimeUs(int servers) {
		FleetView view = view(servers, 10);
		Map<String, ServerLoad> loads = Samples.loads(servers, NOW_MS);
		BoundedLoadPlacement placement = new BoundedLoadPlacement("entry-1", () -> ROUTERS, 1);
		int[] next = new int[1];
		return Meter.timeUs(DECISIONS, () -> {
			int chat = next[0]++;
			PlacementRequest request = request(chat, chat % 6);
			PlacementDecision decision = placement.place(request, Samples.SHARE, view, loads, NOW_MS + chat);
			if (decision instanceof PlacementDecision.Chosen chosen) {
				placement.finished(request, chosen.serverId(), ServedOutcome.FAILED, NOW_MS + chat);
			}
		});
	}

	private static FairAdmission admission(int teams, int rounds) {
		FairAdmission admission = new FairAdmission(() -> ROUTERS, 1);
		PoolPressure pressure = new PoolPressure(80_000, 40_000, 2_400_000);
		for (int i = 0; i < teams * rounds; i++) {
			admission.admit(Samples.SHARE, "model-0", "team-" + i % teams, new TeamSpec(1, 0), Priority.NORMAL,
					PROMPT_TOKENS, pressure, NOW_MS + i);
		}
		return admission;
	}

	private static double admissionHeapBytes(int teams) {
		return Meter.heapBytes(() -> admission(teams, 4));
	}

	private static double admissionTimeUs(int teams) {
		FairAdmission admission = admission(teams, 1);
		PoolPressure pressure = new PoolPressure(80_000, 40_000, 2_400_000);
		int[] next = new int[1];
		return Meter.timeUs(DECISIONS, () -> {
			int i = next[0]++;
			// One of 350 routers receives a request about every 143 ms if the fleet
			// receives 2,400 per second.
			admission.admit(Samples.SHARE, "model-0", "team-" + i % teams, new TeamSpec(1, 0), Priority.NORMAL,
					PROMPT_TOKENS, pressure, NOW_MS + 143L * i);
		});
	}

	private static double viewChangeTimeUs(int servers, int teams) {
		FleetView view = view(servers, teams);
		var next = Samples.config(servers, teams, 2);
		return Meter.timeUs(20, () -> view.with(next));
	}

	private static double digestBytesPerS(int servers) {
		return measureDigest(servers)[0];
	}

	private static double digestUsPerS(int servers) {
		measureDigest(servers);
		return measureDigest(servers)[1];
	}

	// Returns the digest bytes per second and the microseconds per second that encoding
	// and
	// decoding take. Every server is sampled twice a second on average, and a sample
	// differs
	// by at most one step from the previous one, which models loads that change by tens
	// of
	// percent.
	private static double[] measureDigest(int servers) {
		List<String> ids = new ArrayList<>(IntStream.range(0, servers).mapToObj((i) -> "server-" + i).toList());
		LoadDigest sender = new LoadDigest(ids);
		LoadDigest receiver = new LoadDigest(ids);
		DigestLink outgoing = new DigestLink(sender);
		DigestLink incoming = new DigestLink(receiver);
		SplittableRandom random = new SplittableRandom(1);
		long bytes = 0;
		long busyNs = 0;
		for (long ms = 0; ms < DIGEST_DURATION_S * 1_000L; ms += DIGEST_INTERVAL_MS) {
			long nowMs = NOW_MS + ms;
			for (int i = 0; i < servers; i++) {
				if (random.nextInt(1_000 / DIGEST_INTERVAL_MS / SAMPLES_PER_S) == 0) {
					int step = sender.isKnown(i) ? sender.step(i) + random.nextInt(3) - 1 : random.nextInt(MAX_STEP);
					sender.offer(i, Math.clamp(step, 0, MAX_STEP), false, nowMs);
				}
			}
			long startNs = System.nanoTime();
			byte[] message = outgoing.encode(nowMs, MAX_DIGEST_BYTES);
			if (message != null && message.length > 0) {
				incoming.decode(message, nowMs);
				bytes += message.length;
			}
			busyNs += System.nanoTime() - startNs;
		}
		return new double[] { (double) bytes / DIGEST_DURATION_S, busyNs / 1_000.0 / DIGEST_DURATION_S };
	}

}
