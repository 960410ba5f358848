package io.fescuehold.core.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

import io.fescuehold.config.ModelServerSpec;
import io.fescuehold.config.ServerState;
import io.fescuehold.config.ShareConfig;
import io.fescuehold.core.view.FleetView;

/**
 * Views and requests for placement tests.
 */
final class TestFleet {

	static final String SHARE = "tarawera";

	static final String MODEL = "m1";

	private final SortedMap<String, ModelServerSpec> servers = new TreeMap<>();

	private long number;

	TestFleet(int count) {
		for (int index = 0; index < count; index++) {
			put(id(index), ServerState.ACTIVE, 1_000);
		}
	}

	static String id(int index) {
		return String.format("s%02d", index);
	}

	TestFleet put(String id, ServerState state, long tokensPerS) {
		this.servers.put(id, new ModelServerSpec("10.0.0.1", 8000, "d1", List.of(MODEL), state, true, true, tokensPerS,
				64, 1_000_000));
		return this;
	}

	TestFleet remove(String id) {
		this.servers.remove(id);
		return this;
	}

	FleetView view() {
		this.number++;
		return FleetView.EMPTY
			.with(new ShareConfig(SHARE, this.number, null, null, null, this.servers, null, null, null));
	}

	Map<String, ServerLoad> loads(long tokens, long reportedAtMs) {
		Map<String, ServerLoad> loads = new HashMap<>();
		this.servers.keySet().forEach((id) -> loads.put(id, new ServerLoad(id, tokens, 4, reportedAtMs)));
		return loads;
	}

	static PlacementRequest request(String chat, long promptTokens, ChatHint hint, String... excluded) {
		return new PlacementRequest(chat, MODEL, promptTokens, 200, hint, Set.of(excluded));
	}

}
