package io.fescuehold.core.relay;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.fescuehold.core.placement.RendezvousHash;

/**
 * The tree over which daemons receive configuration and load samples. The replicas are
 * the roots; the position of every other host depends only on the host list. A full level
 * has as many hosts as the level above times the fan-out.
 */
public final class RelayTree {

	/** The fan-out of the configuration feed. */
	public static final int FAN_OUT = 8;

	/**
	 * The fan-out for load samples. They change constantly, so a host with eight children
	 * cannot forward the samples of 600 servers within 3 s at 5 KB/s.
	 */
	public static final int LOAD_FAN_OUT = 4;

	private static final int MAX_CANDIDATES = 6;

	private final List<List<RelayHost>> levels = new ArrayList<>();

	private final Map<String, Position> positions = new HashMap<>();

	/**
	 * Creates a tree with a fan-out of {@link #FAN_OUT}.
	 * @param hosts the hosts; without a replica among them the first host in hash order
	 * is the root
	 */
	public RelayTree(Collection<RelayHost> hosts) {
		this(hosts, FAN_OUT);
	}

	/**
	 * Creates a tree.
	 * @param hosts the hosts; without a replica among them the first host in hash order
	 * is the root
	 * @param fanOut the maximum number of children of a host
	 */
	public RelayTree(Collection<RelayHost> hosts, int fanOut) {
		List<RelayHost> ordered = hosts.stream()
			.sorted(Comparator.comparing((RelayHost host) -> !host.replica())
				.thenComparingLong((host) -> RendezvousHash.hash(host.hostId()))
				.thenComparing(RelayHost::hostId))
			.toList();
		int roots = (int) ordered.stream().filter(RelayHost::replica).count();
		int width = Math.max(1, roots);
		for (int start = 0; start < ordered.size();) {
			int end = Math.min(ordered.size(), start + width);
			addLevel(ordered.subList(start, end));
			width = (end - start) * fanOut;
			start = end;
		}
	}

	private void addLevel(List<RelayHost> level) {
		int depth = this.levels.size();
		for (int index = 0; index < level.size(); index++) {
			this.positions.put(level.get(index).hostId(), new Position(depth, index));
		}
		this.levels.add(List.copyOf(level));
	}

	/**
	 * Returns the hosts from which a host may receive, in order of preference: its
	 * parent, then hosts of the parent's level in other failure domains than the parent,
	 * then other hosts of that level, then the roots.
	 * @param hostId the host
	 * @return the host ids; empty for a root or an unknown host
	 */
	public List<String> upstream(String hostId) {
		Position position = this.positions.get(hostId);
		if (position == null || position.level == 0) {
			return List.of();
		}
		List<RelayHost> above = this.levels.get(position.level - 1);
		RelayHost parent = above.get(parentIndex(position, above.size()));
		long hash = RendezvousHash.hash(hostId);
		List<RelayHost> others = new ArrayList<>(above);
		others.remove(parent);
		others.sort(Comparator.comparing((RelayHost other) -> other.failureDomain().equals(parent.failureDomain()))
			.thenComparingLong((other) -> RendezvousHash.combine(hash, RendezvousHash.hash(other.hostId()))));
		List<String> candidates = new ArrayList<>();
		candidates.add(parent.hostId());
		others.stream().limit(MAX_CANDIDATES - 1).forEach((other) -> candidates.add(other.hostId()));
		for (RelayHost root : this.levels.getFirst()) {
			if (!candidates.contains(root.hostId())) {
				candidates.add(root.hostId());
			}
		}
		return candidates;
	}

	/**
	 * Returns the children of a host.
	 * @param hostId the host
	 * @return the host ids, at most as many as the fan-out
	 */
	public List<String> downstream(String hostId) {
		Position position = this.positions.get(hostId);
		if (position == null || position.level + 1 >= this.levels.size()) {
			return List.of();
		}
		int parents = this.levels.get(position.level).size();
		List<RelayHost> below = this.levels.get(position.level + 1);
		List<String> children = new ArrayList<>();
		for (int index = position.index; index < below.size(); index += parents) {
			children.add(below.get(index).hostId());
		}
		return children;
	}

	/**
	 * Returns the roots.
	 * @return the host ids
	 */
	public List<String> roots() {
		return this.levels.isEmpty() ? List.of() : this.levels.getFirst().stream().map(RelayHost::hostId).toList();
	}

	/**
	 * Returns the number of hops between a host and a root.
	 * @param hostId the host
	 * @return the number, 0 for a root and -1 for an unknown host
	 */
	public int depth(String hostId) {
		Position position = this.positions.get(hostId);
		return (position != null) ? position.level : -1;
	}

	private static int parentIndex(Position position, int parents) {
		return position.index % parents;
	}

	private record Position(int level, int index) {

	}

}
