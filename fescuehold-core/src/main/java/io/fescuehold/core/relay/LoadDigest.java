package io.fescuehold.core.relay;

import java.util.Arrays;
import java.util.List;

import io.fescuehold.core.placement.RendezvousHash;

/**
 * The newest load sample of each server of a list. An older sample never replaces a newer
 * one, whatever the order in which they arrive.
 */
public final class LoadDigest {

	private static final long NEVER = Long.MIN_VALUE;

	private final List<String> serverIds;

	private final int listHash;

	private final byte[] steps;

	private final boolean[] full;

	private final long[] sampledAtMs;

	/**
	 * Creates a digest without samples.
	 * @param serverIds the servers; sender and receiver of an encoded digest must have
	 * the same list
	 */
	public LoadDigest(List<String> serverIds) {
		this.serverIds = List.copyOf(serverIds);
		this.listHash = listHash(serverIds);
		this.steps = new byte[serverIds.size()];
		this.full = new boolean[serverIds.size()];
		this.sampledAtMs = new long[serverIds.size()];
		Arrays.fill(this.sampledAtMs, NEVER);
	}

	/**
	 * Returns the hash that identifies a list of servers.
	 * @param serverIds the servers
	 * @return the hash
	 */
	public static int listHash(List<String> serverIds) {
		long hash = serverIds.size();
		for (String id : serverIds) {
			hash = RendezvousHash.combine(hash, RendezvousHash.hash(id));
		}
		return (int) hash;
	}

	/**
	 * Stores a sample if it is newer than the known one.
	 * @param index the index of the server
	 * @param step the load on {@link LoadScale}
	 * @param isFull whether the server runs as many requests as it can batch
	 * @param atMs the time of the sample in milliseconds
	 * @return whether the sample was newer
	 */
	public boolean offer(int index, int step, boolean isFull, long atMs) {
		if (atMs <= this.sampledAtMs[index]) {
			return false;
		}
		this.steps[index] = (byte) step;
		this.full[index] = isFull;
		this.sampledAtMs[index] = atMs;
		return true;
	}

	/**
	 * Stores the newer samples of another digest of the same list.
	 * @param other the other digest
	 */
	public void merge(LoadDigest other) {
		for (int index = 0; index < size(); index++) {
			if (other.isKnown(index)) {
				offer(index, other.step(index), other.isFull(index), other.sampledAtMs(index));
			}
		}
	}

	/**
	 * Returns the servers.
	 * @return the server ids
	 */
	public List<String> serverIds() {
		return this.serverIds;
	}

	/**
	 * Returns the hash of the list of servers.
	 * @return the hash
	 */
	public int listHash() {
		return this.listHash;
	}

	/**
	 * Returns the number of servers.
	 * @return the number of servers
	 */
	public int size() {
		return this.steps.length;
	}

	/**
	 * Tells whether a server has a sample.
	 * @param index the index of the server
	 * @return whether a sample is known
	 */
	public boolean isKnown(int index) {
		return this.sampledAtMs[index] != NEVER;
	}

	/**
	 * Returns the load of a server.
	 * @param index the index of the server
	 * @return the step on {@link LoadScale}
	 */
	public int step(int index) {
		return Byte.toUnsignedInt(this.steps[index]);
	}

	/**
	 * Tells whether a server ran as many requests as it can batch.
	 * @param index the index of the server
	 * @return whether the server was full at the time of the sample
	 */
	public boolean isFull(int index) {
		return this.full[index];
	}

	/**
	 * Returns the time of a server's sample.
	 * @param index the index of the server
	 * @return the time in milliseconds
	 */
	public long sampledAtMs(int index) {
		return this.sampledAtMs[index];
	}

}
