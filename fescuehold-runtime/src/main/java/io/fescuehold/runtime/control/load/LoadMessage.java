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
	 * @param listHash the hash of the list of servers that the sender encodes with
	 * @param samples the samples as encoded by
	 * {@link io.fescuehold.core.relay.DigestLink}, or empty
	 */
	record Samples(int listHash, byte[] samples) implements LoadMessage {
	}

	/**
	 * Asks the sender of samples for its list of servers, because the receiver's list is
	 * another one. Answered by {@link Servers}.
	 *
	 * @param listHash the hash of the list
	 */
	record ServersRequest(int listHash) implements LoadMessage {
	}

	/**
	 * A list of servers.
	 *
	 * @param listHash the hash of the list
	 * @param serverIds the servers in the order of the list
	 */
	record Servers(int listHash, List<String> serverIds) implements LoadMessage {

		public Servers {
			serverIds = List.copyOf(serverIds);
		}

	}

}
