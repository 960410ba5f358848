package io.fescuehold.runtime.control.load;

import java.util.List;

import io.fescuehold.core.port.PeerMessage;

/**
 * The messages that exchange load reports between daemons.
 */
public sealed interface LoadMessage extends PeerMessage {

	/**
	 * Load samples that the receiver has not been sent yet. An empty message keeps the
	 * sender listed as a neighbour.
	 *
	 * @param listHash the hash of the server list that the samples are encoded against
	 * @param samples the samples as encoded by
	 * {@link io.fescuehold.core.relay.DigestLink}, or empty
	 */
	record Samples(int listHash, byte[] samples) implements LoadMessage {
	}

	/**
	 * Requests the server list of the sender of samples, because its hash differs from
	 * that of the receiver's list. Answered by {@link Servers}.
	 *
	 * @param listHash the hash of the requested list
	 */
	record ServersRequest(int listHash) implements LoadMessage {
	}

	/**
	 * The server list against which a host encodes its samples.
	 *
	 * @param listHash the hash of the list
	 * @param serverIds the ids of the servers in list order
	 */
	record Servers(int listHash, List<String> serverIds) implements LoadMessage {

		public Servers {
			serverIds = List.copyOf(serverIds);
		}

	}

}
