package io.fescuehold.runtime.transport;

import java.util.Map;

/**
 * The addresses and limits of a {@link TcpPeerTransport}.
 *
 * @param hostId the host id of this daemon
 * @param bind where this daemon accepts messages; port 0 chooses a free port
 * @param peers the other daemons by host id
 * @param limits the limits
 */
public record TransportOptions(String hostId, PeerAddress bind, Map<String, PeerAddress> peers, Limits limits) {

	public TransportOptions {
		peers = Map.copyOf(peers);
	}

	/**
	 * Creates options with the default limits.
	 * @param hostId the host id of this daemon
	 * @param bind where this daemon accepts messages
	 * @param peers the other daemons by host id
	 */
	public TransportOptions(String hostId, PeerAddress bind, Map<String, PeerAddress> peers) {
		this(hostId, bind, peers, Limits.DEFAULT);
	}

	/**
	 * The times and sizes of a transport.
	 *
	 * @param pingMs the time between pings in milliseconds
	 * @param silenceMs the silence in milliseconds after which a connection is replaced
	 * @param connectMs the longest time in milliseconds for opening a connection
	 * @param maxBackOffMs the longest wait in milliseconds between attempts to connect
	 * @param idleMs the time in milliseconds after which a connection without messages is
	 * closed
	 * @param maxFrameBytes the largest frame in bytes
	 * @param maxQueuedMessages the messages that wait for one peer at most
	 * @param maxQueuedBytes the bytes that wait for one peer at most
	 */
	public record Limits(int pingMs, int silenceMs, int connectMs, int maxBackOffMs, int idleMs, int maxFrameBytes,
			int maxQueuedMessages, long maxQueuedBytes) {

		/** The limits of a daemon. */
		public static final Limits DEFAULT = new Limits(500, 1_500, 1_000, 1_000, 60_000, 8 * 1024 * 1024, 4_096,
				32L * 1024 * 1024);

	}

}
