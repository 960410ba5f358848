package io.fescuehold.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.fescuehold.config.ModelServerSpec;
import io.fescuehold.config.ServerState;
import io.fescuehold.core.view.FleetView;

/**
 * The model servers of one share that offer one model, in arrays for fast scans.
 */
final class ServerPool {

	private final String[] ids;

	private final long[] hashes;

	private final ModelServerSpec[] specs;

	private final boolean[] leaving;

	private final Map<String, Integer> indexes = new HashMap<>();

	private ServerPool(List<String> ids, List<ModelServerSpec> specs) {
		this.ids = ids.toArray(String[]::new);
		this.specs = specs.toArray(ModelServerSpec[]::new);
		this.hashes = new long[this.ids.length];
		this.leaving = new boolean[this.ids.length];
		for (int index = 0; index < this.ids.length; index++) {
			this.hashes[index] = RendezvousHash.hash(this.ids[index]);
			this.leaving[index] = this.specs[index].state() == ServerState.LEAVING;
			this.indexes.put(this.ids[index], index);
		}
	}

	static ServerPool of(FleetView view, String share, String model) {
		List<String> ids = new ArrayList<>();
		List<ModelServerSpec> specs = new ArrayList<>();
		view.modelServers().forEach((id, owned) -> {
			if (owned.share().equals(share) && owned.spec().models().contains(model)) {
				ids.add(id);
				specs.add(owned.spec());
			}
		});
		return new ServerPool(ids, specs);
	}

	int size() {
		return this.ids.length;
	}

	String id(int index) {
		return this.ids[index];
	}

	long hash(int index) {
		return this.hashes[index];
	}

	ModelServerSpec spec(int index) {
		return this.specs[index];
	}

	boolean isLeaving(int index) {
		return this.leaving[index];
	}

	/**
	 * Finds a server.
	 * @param serverId the server, or null
	 * @return the index, or -1 if the server is not in the pool
	 */
	int indexOf(String serverId) {
		return this.indexes.getOrDefault(serverId, -1);
	}

}
