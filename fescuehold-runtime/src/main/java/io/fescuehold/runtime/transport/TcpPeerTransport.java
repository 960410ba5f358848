package io.fescuehold.runtime.transport;

import java.io.IOException;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.port.PeerHandler;
import io.fescuehold.core.port.PeerMessage;
import io.fescuehold.core.port.PeerTransport;
import io.fescuehold.core.port.StateDump;
import io.netty.channel.ChannelOption;
import org.reactivestreams.Publisher;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.netty.DisposableServer;
import reactor.netty.NettyInbound;
import reactor.netty.NettyOutbound;
import reactor.netty.resources.LoopResources;
import reactor.netty.tcp.TcpServer;

/**
 * Sends messages between daemons over TCP in frames of a 4-byte length and a MessagePack
 * body.
 */
public final class TcpPeerTransport implements PeerTransport, StateDump {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final int LOOP_THREADS = 2;

	private static final int CLOSE_TIMEOUT_MS = 2_000;

	private final TransportOptions options;

	private final Scheduler scheduler;

	private final TrafficCounters counters;

	private final MessageTypes types = new MessageTypes();

	private final FrameCodec codec = new FrameCodec(this.types);

	private final Map<Class<?>, PeerHandler<?>> handlers = new ConcurrentHashMap<>();

	private final Map<String, PeerLink> links = new ConcurrentHashMap<>();

	private final Set<PeerSession> sessions = ConcurrentHashMap.newKeySet();

	private final LoopResources loops;

	private final boolean ownsLoops;

	private volatile Function<String, PeerAddress> addressLookup = (hostId) -> null;

	/** The connections that may be open without having named their host. */
	private volatile int maxUnidentified = Integer.MAX_VALUE;

	private volatile DisposableServer server;

	private volatile Disposable idleCheck;

	/**
	 * Creates a transport, which accepts connections once it is started.
	 * @param options the addresses and limits
	 * @param metrics the registry of the traffic counters
	 * @param scheduler the scheduler of timeouts and of the idle check
	 */
	public TcpPeerTransport(TransportOptions options, MetricRegistry metrics, Scheduler scheduler) {
		this(options, metrics, scheduler, LoopResources.create("fescuehold-peer", LOOP_THREADS, true), true);
	}

	/**
	 * Creates a transport that shares its threads with other parts of the process.
	 * @param options the addresses and limits
	 * @param metrics the registry of the traffic counters
	 * @param scheduler the scheduler of timeouts and of the idle check
	 * @param loops the event loops, which are not disposed when the transport is closed
	 */
	public TcpPeerTransport(TransportOptions options, MetricRegistry metrics, Scheduler scheduler,
			LoopResources loops) {
		this(options, metrics, scheduler, loops, false);
	}

	private TcpPeerTransport(TransportOptions options, MetricRegistry metrics, Scheduler scheduler, LoopResources loops,
			boolean ownsLoops) {
		this.loops = loops;
		this.ownsLoops = ownsLoops;
		this.options = options;
		this.scheduler = scheduler;
		this.counters = new TrafficCounters(metrics);
		options.peers().forEach(this::setPeer);
	}

	/**
	 * Starts to accept connections.
	 * @return completes when the port is bound; errors if it cannot be bound
	 */
	public Mono<Void> start() {
		PeerAddress bind = this.options.bind();
		return TcpServer.create()
			.runOn(this.loops)
			.host(bind.address())
			.port(bind.port())
			.childOption(ChannelOption.TCP_NODELAY, true)
			.handle(this::accept)
			.bind()
			.doOnNext((bound) -> {
				this.server = bound;
				int idleMs = this.options.limits().idleMs();
				this.idleCheck = this.scheduler.schedulePeriodically(
						() -> this.links.values().forEach(PeerLink::closeIfIdle), idleMs, idleMs,
						TimeUnit.MILLISECONDS);
			})
			.then();
	}

	/**
	 * Limits the connections that have not named their host. The oldest one is closed in
	 * favour of a new one.
	 * @param max the maximum number of such connections
	 */
	public void limitUnidentified(int max) {
		this.maxUnidentified = max;
	}

	/**
	 * Returns the port on which connections are accepted.
	 * @return the port
	 */
	public int port() {
		return this.server.port();
	}

	/**
	 * Adds a peer or changes its address.
	 * @param hostId the host id of the peer
	 * @param address its address
	 */
	public void setPeer(String hostId, PeerAddress address) {
		this.links
			.computeIfAbsent(hostId,
					(id) -> new PeerLink(this.options.hostId(), id, address, this.options.limits(), this.codec,
							this.counters, this.scheduler, this.loops))
			.setAddress(address);
	}

	/**
	 * Allows this transport to exchange messages with hosts that were not configured.
	 * @param addresses returns the address of a host id, or null to refuse the host
	 */
	public void discoverPeers(Function<String, PeerAddress> addresses) {
		this.addressLookup = addresses;
	}

	private PeerLink link(String hostId) {
		PeerLink known = this.links.get(hostId);
		PeerAddress discovered = (known != null) ? null : this.addressLookup.apply(hostId);
		if (discovered == null) {
			return known;
		}
		setPeer(hostId, discovered);
		return this.links.get(hostId);
	}

	@Override
	public void send(String hostId, PeerMessage message) {
		if (hostId.equals(this.options.hostId())) {
			dispatch(hostId, message).subscribe((reply) -> {
			}, (error) -> logger.atWarning().withCause(error).log("Handling %s failed", message.getClass()));
			return;
		}
		String group = this.types.nameOf(message.getClass()).group();
		PeerLink link = link(hostId);
		byte[] body = this.codec.encode(this.codec.messageFrame(Frame.SEND, 0, message));
		if (link == null || body.length > this.options.limits().maxFrameBytes()) {
			logger.atWarning()
				.atMostEvery(1, TimeUnit.SECONDS)
				.log("A message of %d bytes to host %s was dropped: %s", body.length, hostId,
						(link != null) ? "it is larger than a frame" : "the host is not configured");
			this.counters.dropped(group);
			return;
		}
		link.send(body, group);
	}

	@Override
	public Mono<PeerMessage> request(String hostId, PeerMessage message, Duration timeout) {
		if (hostId.equals(this.options.hostId())) {
			return dispatch(hostId, message).timeout(timeout, Mono
				.error(() -> OutgoingMessage.outcomeUnknown("no reply arrived within " + timeout.toMillis() + " ms")),
					this.scheduler);
		}
		PeerLink link = link(hostId);
		if (link == null) {
			return Mono.error(OutgoingMessage.unreachable(hostId, "the host is not configured"));
		}
		return link.request(message, this.types.nameOf(message.getClass()).group(), timeout);
	}

	@Override
	public <T extends PeerMessage> void onMessage(Class<T> type, PeerHandler<T> handler) {
		this.types.register(type);
		this.handlers.put(type, handler);
	}

	/**
	 * Registers the message types of a group, so that replies of these types can be read.
	 * @param group the sealed interface of the group
	 */
	public void registerGroup(Class<? extends PeerMessage> group) {
		this.types.register(group);
	}

	private Publisher<Void> accept(NettyInbound inbound, NettyOutbound outbound) {
		PeerSession[] session = new PeerSession[1];
		inbound.withConnection((connection) -> {
			session[0] = new PeerSession(new FrameChannel(connection, this.options.limits(), this.counters, () -> {
			}), connection.address().toString());
			this.sessions.add(session[0]);
			connection.onDispose(() -> this.sessions.remove(session[0]));
			closeOldestUnidentified();
		});
		return inbound.receive().asByteArray().doOnNext(session[0]::receive).onErrorResume((error) -> {
			logger.atFine().withCause(error).log("A connection from %s failed", session[0].fromHostId);
			return Mono.empty();
		}).then();
	}

	// A peer names its host at once, so that the oldest one is no peer.
	private void closeOldestUnidentified() {
		List<PeerSession> unidentified = this.sessions.stream()
			.filter((session) -> session.fromHostId == null)
			.sorted(Comparator.comparingLong((session) -> session.openedNs))
			.toList();
		if (unidentified.size() > this.maxUnidentified) {
			unidentified.getFirst().channel.close();
		}
	}

	@SuppressWarnings("unchecked")
	private Mono<PeerMessage> dispatch(String fromHostId, PeerMessage message) {
		PeerHandler<PeerMessage> handler = (PeerHandler<PeerMessage>) this.handlers.get(message.getClass());
		if (handler == null) {
			return Mono.error(new FescueholdException(ErrorCode.NOT_FOUND, message.getClass().getSimpleName()));
		}
		return Mono.defer(() -> handler.handle(fromHostId, message)).cast(PeerMessage.class);
	}

	@Override
	public String dumpName() {
		return "transport";
	}

	@Override
	public Object dump() {
		Map<String, Object> dump = new TreeMap<>();
		this.links.forEach((hostId, link) -> dump.put(hostId, link.dump()));
		return dump;
	}

	/** Closes all connections and the port. */
	public void close() {
		this.links.values().forEach(PeerLink::close);
		if (this.idleCheck != null) {
			this.idleCheck.dispose();
		}
		if (this.server != null) {
			this.server.disposeNow(Duration.ofMillis(CLOSE_TIMEOUT_MS));
			// Closing the port leaves accepted connections open, and peers would notice
			// the end only after the silence limit.
			this.sessions.forEach((session) -> session.channel.close());
		}
		if (!this.ownsLoops) {
			return;
		}
		this.loops.disposeLater(Duration.ZERO, Duration.ofMillis(CLOSE_TIMEOUT_MS))
			.block(Duration.ofMillis(2 * CLOSE_TIMEOUT_MS));
	}

	/** A connection that a peer has opened. */
	private final class PeerSession {

		private final FrameChannel channel;

		private final String remoteAddress;

		private final long openedNs = System.nanoTime();

		private volatile String fromHostId;

		PeerSession(FrameChannel channel, String remoteAddress) {
			this.channel = channel;
			this.remoteAddress = remoteAddress;
		}

		void receive(byte[] body) {
			try {
				receive(TcpPeerTransport.this.codec.decode(body), body.length);
			}
			catch (IOException ex) {
				logger.atWarning().withCause(ex).log("A frame from %s cannot be read", this.remoteAddress);
				this.channel.close();
			}
		}

		private void receive(Frame frame, int bytes) throws IOException {
			TrafficCounters trafficCounters = TcpPeerTransport.this.counters;
			switch (frame.k()) {
				case Frame.PING -> trafficCounters.received("ping", bytes);
				case Frame.HELLO -> {
					trafficCounters.received("hello", bytes);
					identify(frame.t());
				}
				case Frame.SEND, Frame.REQUEST -> handle(frame, bytes);
				default ->
					throw new IOException("Frame kind " + frame.k() + " is not expected on an incoming connection");
			}
		}

		private void identify(String hostId) throws IOException {
			if (link(hostId) == null) {
				throw new IOException("Host \"" + hostId + "\" is not configured as a peer");
			}
			this.fromHostId = hostId;
		}

		private void handle(Frame frame, int bytes) throws IOException {
			if (this.fromHostId == null) {
				throw new IOException("A message arrived before the hello frame");
			}
			this.channel.recordMessage();
			Class<? extends PeerMessage> type = TcpPeerTransport.this.types.typeOf(frame.t());
			String group = (type != null) ? TcpPeerTransport.this.types.nameOf(type).group() : "unknown";
			TcpPeerTransport.this.counters.received(group, bytes);
			Mono<PeerMessage> reply = read(frame, type).flatMap((message) -> dispatch(this.fromHostId, message));
			if (frame.k() == Frame.SEND) {
				reply.subscribe((ignored) -> {
				}, (error) -> logger.atWarning()
					.atMostEvery(1, TimeUnit.SECONDS)
					.withCause(error)
					.log("Handling %s failed", frame.t()));
				return;
			}
			reply.map((message) -> TcpPeerTransport.this.codec.messageFrame(Frame.REPLY, frame.c(), message))
				.defaultIfEmpty(new Frame(Frame.EMPTY_REPLY, frame.c(), null, null))
				.onErrorResume((error) -> Mono
					.just(TcpPeerTransport.this.codec.errorFrame(frame.c(), toFescueholdException(frame, error))))
				.subscribe((replyFrame) -> sendReply(replyFrame, group));
		}

		// A message that cannot be read, for example of another version, is refused
		// without closing the connection, so that later messages are not affected.
		private Mono<PeerMessage> read(Frame frame, Class<? extends PeerMessage> type) {
			if (type == null) {
				return Mono.error(new FescueholdException(ErrorCode.NOT_FOUND, frame.t()));
			}
			try {
				return Mono.just(TcpPeerTransport.this.codec.readMessage(frame));
			}
			catch (IOException ex) {
				return Mono.error(new FescueholdException(ErrorCode.BAD_REQUEST, "Message " + frame.t(),
						ex.getMessage(), "use daemons of the same version"));
			}
		}

		private FescueholdException toFescueholdException(Frame frame, Throwable error) {
			if (error instanceof FescueholdException expected) {
				return expected;
			}
			logger.atSevere().withCause(error).log("Handling %s failed", frame.t());
			return OutgoingMessage.outcomeUnknown(
					"host " + TcpPeerTransport.this.options.hostId() + " failed while it handled " + frame.t());
		}

		private void sendReply(Frame reply, String group) {
			byte[] body = TcpPeerTransport.this.codec.encode(reply);
			TransportOptions.Limits limits = TcpPeerTransport.this.options.limits();
			if (body.length > limits.maxFrameBytes()) {
				body = TcpPeerTransport.this.codec.encode(TcpPeerTransport.this.codec.errorFrame(reply.c(),
						new FescueholdException(ErrorCode.BODY_TOO_LARGE, body.length, limits.maxFrameBytes())));
			}
			if (this.channel.bytesBeforeWritable() > limits.maxQueuedBytes()) {
				// The peer sends requests faster than it reads the replies; without this
				// limit, the buffered replies would exhaust the memory.
				this.channel.close();
				return;
			}
			this.channel.write(body, group);
		}

	}

}
