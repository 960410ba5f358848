package io.fescuehold.runtime.transport;

import java.util.Map;

/**
 * The addresses and limits of a {@link TcpPeerTransport}.
 *
 * @param hostId the host id of this daemon
 * @param bind the address on which this daemon accepts connections; port 0 chooses a free
 * port
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
	 * @param bind the address on which this daemon accepts connections
	 * @param peers the other daemons by host id
	 */
	public TransportOptions(String hostId, PeerAddress bind, Map<String, PeerAddress> peers) {
		this(hostId, bind, peers, Limits.DEFAULT);
	}

	/**
	 * The time and size limits of a transport.
	 *
	 * @param pingMs the interval of pings in milliseconds
	 * @param silenceMs the time in milliseconds without received bytes after which a
	 * connection is closed
	 * @param connectMs the connect timeout in milliseconds
	 * @param maxBackOffMs the maximum wait in milliseconds between attempts to connect
	 * @param idleMs the time in milliseconds after which a connection without messages is
	 * closed
	 * @param maxFrameBytes the maximum size of a frame in bytes
	 * @param maxQueuedMessages the maximum number of queued messages per peer
	 * @param maxQueuedBytes the maximum size of the queued messages per peer in bytes
	 */
	public record Limits(int pingMs, int silenceMs, int connectMs, int maxBackOffMs, int idleMs, int maxFrameBytes,
			int maxQueuedMessages, long maxQueuedBytes) {

		/** The default limits. */
		public static final Limits DEFAULT = new Limits(500, 1_500, 1_000, 1_000, 60_000, 8 * 1024 * 1024, 4_096,
				32L * 1024 * 1024);

	}

}
