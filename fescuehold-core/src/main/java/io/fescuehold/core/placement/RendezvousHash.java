package io.fescuehold.core.placement;

/**
 * Rendezvous hashing with weights. Every router computes the same scores from the same
 * ids, so routers with different server lists still agree on most keys.
 */
public final class RendezvousHash {

	private static final long FNV_OFFSET = 0xcbf29ce484222325L;

	private static final long FNV_PRIME = 0x100000001b3L;

	private static final long MIX_1 = 0xbf58476d1ce4e5b9L;

	private static final long MIX_2 = 0x94d049bb133111ebL;

	private static final double UNIT = 0x1.0p-53;

	private static final int UNIT_SHIFT = 11;

	private RendezvousHash() {
	}

	/**
	 * Hashes an id (FNV-1a over its characters, then the 64-bit finaliser of SplitMix).
	 * @param id the id
	 * @return the hash
	 */
	public static long hash(String id) {
		long hash = FNV_OFFSET;
		for (int index = 0; index < id.length(); index++) {
			hash = (hash ^ id.charAt(index)) * FNV_PRIME;
		}
		return mix(hash);
	}

	/**
	 * Combines the hashes of a key and a node.
	 * @param keyHash the hash of the key
	 * @param nodeHash the hash of the node
	 * @return the combined hash
	 */
	public static long combine(long keyHash, long nodeHash) {
		return mix(keyHash ^ Long.rotateLeft(nodeHash, 1));
	}

	/**
	 * Maps a hash to a number between 0 and 1, both excluded.
	 * @param hash the hash
	 * @return the number
	 */
	public static double unit(long hash) {
		return ((hash >>> UNIT_SHIFT) + 0.5) * UNIT;
	}

	/**
	 * Returns the weighted score of a node for a key. The node with the lowest score wins
	 * with a probability proportional to its weight, and a change of one node's weight
	 * moves only keys to or from that node.
	 * @param keyHash the hash of the key
	 * @param nodeHash the hash of the node
	 * @param weight the weight of the node; a node without weight never wins
	 * @return the score, lower is better
	 */
	public static double score(long keyHash, long nodeHash, double weight) {
		return (weight > 0) ? -Math.log(unit(combine(keyHash, nodeHash))) / weight : Double.POSITIVE_INFINITY;
	}

	/**
	 * Returns the weighted score of a node if it is below the best score so far. Most
	 * nodes are ruled out by a lower bound of the logarithm, which makes a scan of many
	 * nodes several times faster.
	 * @param keyHash the hash of the key
	 * @param nodeHash the hash of the node
	 * @param weight the weight of the node
	 * @param best the best score so far
	 * @return the score, or infinity if it is not below the best
	 */
	static double scoreBelow(long keyHash, long nodeHash, double weight, double best) {
		double unit = unit(combine(keyHash, nodeHash));
		if (1 - unit >= best * weight) {
			return Double.POSITIVE_INFINITY;
		}
		return -Math.log(unit) / weight;
	}

	private static long mix(long value) {
		long mixed = (value ^ (value >>> 30)) * MIX_1;
		mixed = (mixed ^ (mixed >>> 27)) * MIX_2;
		return mixed ^ (mixed >>> 31);
	}

}
