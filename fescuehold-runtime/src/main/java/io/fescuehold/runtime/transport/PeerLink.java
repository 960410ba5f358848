package io.fescuehold.runtime.transport;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import com.google.common.flogger.FluentLogger;
import io.fescuehold.core.port.PeerMessage;
import io.netty.channel.ChannelOption;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.netty.Connection;
import reactor.netty.resources.LoopResources;
import reactor.netty.tcp.TcpClient;

/**
 * The outgoing connection to one peer, opened on demand. The peer's replies arrive on it;
 * the peer's own requests arrive on the connection that the peer opens.
 */
final class PeerLink {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final long INITIAL_BACK_OFF_MS = 50;

	private static final int MAX_BACK_OFF_DOUBLINGS = 10;

	private final String ownHostId;

	private final String hostId;

	private final TransportOptions.Limits limits;

	private final FrameCodec codec;

	private final TrafficCounters counters;

	private final Scheduler scheduler;

	private final LoopResources loops;

	private final TcpClient client;

	private final AtomicLong lastCorrelation = new AtomicLong();

	private final Map<Long, OutgoingMessage> pendingRequests = new ConcurrentHashMap<>();

	private final SendQueue queue;

	private volatile PeerAddress address;

	private FrameChannel channel;

	private boolean connecting;

	private int failures;

	private boolean closed;

	PeerLink(String ownHostId, String hostId, PeerAddress address, TransportOptions.Limits limits, FrameCodec codec,
			TrafficCounters counters, Scheduler scheduler, LoopResources loops) {
		this.ownHostId = ownHostId;
		this.hostId = hostId;
		this.address = address;
		this.limits = limits;
		this.codec = codec;
		this.counters = counters;
		this.scheduler = scheduler;
		this.queue = new SendQueue(limits.maxQueuedMessages(), limits.maxQueuedBytes());
		this.loops = loops;
		this.client = TcpClient.newConnection()
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, limits.connectMs())
			.option(ChannelOption.TCP_NODELAY, true)
			.doOnConnected(this::connected);
	}

	void setAddress(PeerAddress newAddress) {
		this.address = newAddress;
	}

	/**
	 * Sends a message without reply.
	 * @param body the body of the frame
	 * @param group the message group
	 */
	void send(byte[] body, String group) {
		enqueue(new OutgoingMessage(0, body, group, null));
	}

	/**
	 * Sends a request.
	 * @param message the message
	 * @param group the message group
	 * @param timeout the maximum time to wait for the reply
	 * @return the reply
	 */
	Mono<PeerMessage> request(PeerMessage message, String group, Duration timeout) {
		return Mono.defer(() -> {
			long correlation = this.lastCorrelation.incrementAndGet();
			byte[] body = this.codec.encode(this.codec.messageFrame(Frame.REQUEST, correlation, message));
			if (body.length > this.limits.maxFrameBytes()) {
				return Mono.error(OutgoingMessage.unreachable(this.hostId, "the message has " + body.length
						+ " bytes but a frame holds at most " + this.limits.maxFrameBytes()));
			}
			OutgoingMessage[] request = new OutgoingMessage[1];
			return Mono.<PeerMessage>create((sink) -> {
				request[0] = new OutgoingMessage(correlation, body, group, sink);
				this.pendingRequests.put(correlation, request[0]);
				enqueue(request[0]);
			})
				.timeout(timeout,
						Mono.defer(() -> Mono.error(request[0].abandon(this.hostId,
								"no reply arrived within " + timeout.toMillis() + " ms"))),
						this.scheduler)
				.doFinally((signal) -> {
					this.pendingRequests.remove(correlation);
					request[0].abandon(this.hostId, "the request has ended");
				});
		});
	}

	private void enqueue(OutgoingMessage message) {
		List<OutgoingMessage> dropped;
		boolean refused;
		synchronized (this) {
			refused = this.closed;
			dropped = refused ? List.of(message) : this.queue.add(message);
			if (!refused && this.channel == null && !this.connecting) {
				connect();
			}
		}
		for (OutgoingMessage droppedMessage : dropped) {
			this.counters.dropped(droppedMessage.group());
			droppedMessage.fail(this.hostId, refused ? "the transport is closed" : "its send queue is full");
		}
		writeQueued();
	}

	private void writeQueued() {
		synchronized (this) {
			while (this.channel != null && !this.queue.isEmpty() && this.channel.isWritable()) {
				OutgoingMessage next = this.queue.poll();
				if (next.startWriting(this.channel)) {
					this.channel.write(next.body(), next.group());
					this.channel.recordMessage();
				}
			}
		}
	}

	private void connect() {
		this.connecting = true;
		PeerAddress target = this.address;
		NameResolution.unlessNumeric(this.client, target.address())
			.runOn(this.loops)
			.host(target.address())
			.port(target.port())
			.connect()
			.subscribe((connection) -> {
			}, this::connectFailed);
	}

	private void connected(Connection connection) {
		FrameChannel opened = new FrameChannel(connection, this.limits, this.counters, this::writeQueued);
		connection.inbound().receive().asByteArray().subscribe((body) -> receive(opened, body), (error) -> {
			logger.atFine().withCause(error).log("The connection to host %s failed", this.hostId);
			opened.close();
		});
		opened.write(this.codec.encode(new Frame(Frame.HELLO, 0, this.ownHostId, new byte[0])), "hello");
		boolean linkClosed;
		synchronized (this) {
			this.connecting = false;
			this.failures = 0;
			linkClosed = this.closed;
			this.channel = opened;
		}
		connection.onDispose(() -> disconnected(opened));
		if (linkClosed) {
			opened.close();
		}
		writeQueued();
	}

	private void connectFailed(Throwable error) {
		List<OutgoingMessage> queued;
		synchronized (this) {
			this.failures++;
			queued = this.queue.clear();
		}
		logger.atFine().withCause(error).log("Host %s cannot be reached", this.hostId);
		queued.forEach((message) -> message.fail(this.hostId, "the connection was refused or timed out"));
		this.scheduler.schedule(this::reconnectIfNeeded, backOffMs(), TimeUnit.MILLISECONDS);
	}

	private long backOffMs() {
		long doubled = INITIAL_BACK_OFF_MS << Math.min(this.failures - 1, MAX_BACK_OFF_DOUBLINGS);
		long bounded = Math.min(doubled, this.limits.maxBackOffMs());
		return bounded / 2 + ThreadLocalRandom.current().nextLong(bounded / 2 + 1);
	}

	private void reconnectIfNeeded() {
		synchronized (this) {
			this.connecting = false;
			if (!this.closed && !this.queue.isEmpty()) {
				connect();
			}
		}
	}

	private void disconnected(FrameChannel closedChannel) {
		synchronized (this) {
			if (this.channel == closedChannel) {
				this.channel = null;
			}
			if (!this.closed && !this.connecting && this.channel == null && !this.queue.isEmpty()) {
				connect();
			}
		}
		this.pendingRequests.values()
			.stream()
			.filter((request) -> request.isWrittenTo(closedChannel))
			.forEach((request) -> request.fail(this.hostId, "the connection was lost"));
	}

	private void receive(FrameChannel from, byte[] body) {
		try {
			Frame frame = this.codec.decode(body);
			if (frame.k() == Frame.PING) {
				this.counters.received("ping", body.length);
				return;
			}
			from.recordMessage();
			OutgoingMessage request = this.pendingRequests.remove(frame.c());
			this.counters.received((request != null) ? request.group() : "late", body.length);
			if (request != null) {
				complete(request, frame);
			}
		}
		catch (IOException ex) {
			logger.atWarning().withCause(ex).log("Host %s sent a frame that cannot be read", this.hostId);
			from.close();
		}
	}

	private void complete(OutgoingMessage request, Frame frame) throws IOException {
		switch (frame.k()) {
			case Frame.REPLY -> request.succeed(this.codec.readMessage(frame));
			case Frame.EMPTY_REPLY -> request.succeed(null);
			case Frame.ERROR -> request.fail(this.codec.readError(frame));
			default -> throw new IOException("Frame kind " + frame.k() + " is not a reply");
		}
	}

	/** Closes the connection if it has carried no message for the idle time. */
	void closeIfIdle() {
		synchronized (this) {
			if (this.channel != null && this.pendingRequests.isEmpty() && this.queue.isEmpty()
					&& this.channel.isIdle()) {
				this.channel.close();
			}
		}
	}

	/** Closes the link permanently and fails the queued messages. */
	void close() {
		List<OutgoingMessage> queued;
		synchronized (this) {
			this.closed = true;
			queued = this.queue.clear();
			if (this.channel != null) {
				this.channel.close();
			}
		}
		queued.forEach((message) -> message.fail(this.hostId, "the transport is closed"));
	}

	/**
	 * Returns the state of the link for a dump.
	 * @return the state
	 */
	synchronized LinkDump dump() {
		return new LinkDump(this.address.address() + ":" + this.address.port(), this.channel != null, this.failures,
				this.queue.size(), this.pendingRequests.size());
	}

	/**
	 * The state of a link.
	 *
	 * @param address the address of the peer
	 * @param connected whether a connection is open
	 * @param failures the number of failed attempts to connect since the last connection
	 * @param queuedMessages the number of messages in the send queue
	 * @param pendingRequests the number of requests without a reply
	 */
	record LinkDump(String address, boolean connected, int failures, int queuedMessages, int pendingRequests) {

	}

}
