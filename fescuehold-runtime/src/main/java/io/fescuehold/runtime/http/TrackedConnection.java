package io.fescuehold.runtime.http;

import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.ssl.SslHandler;
import io.netty.util.ReferenceCountUtil;
import reactor.netty.NettyPipeline;

/**
 * One connection of a caller: what was read of its requests and written of their
 * responses. The state is changed on the thread of the connection only.
 * <p>
 * After its last response the connection is closed in two steps: this process ends its
 * side, then discards what still arrives until the caller has closed the other side, at
 * most for {@value #LINGER_MS} ms.
 */
final class TrackedConnection {

	/** The time for a caller to close its side after the last response. */
	private static final int LINGER_MS = 1_000;

	/** The time for the first request of a connection during a drain. */
	private static final int FIRST_REQUEST_MS = 1_000;

	/** The time for the rest of a request head during a drain. */
	private static final int HEAD_MS = 1_000;

	/** A caller that sends so much ahead loses its place before those that stall. */
	private static final long FULL_AHEAD_NS = TimeUnit.HOURS.toNanos(1);

	private final Channel channel;

	private final HttpListeners listeners;

	private final long openedNs = System.nanoTime();

	/** Whether a part of a request head was read. */
	private volatile boolean readingHead;

	private volatile int headsRead;

	private volatile int requestsRead;

	private volatile int responsesBegun;

	/** The responses that the operating system has taken completely. */
	private volatile int responsesSent;

	/** Whether the newest response told the caller that it is the last one. */
	private boolean lastResponse;

	/** Whether this process, not the caller, has closed the connection. */
	private boolean closedHere;

	/** Whether this process has ended its side and waits for the caller. */
	private boolean lingering;

	/** Whether the connection is closed without waiting for the caller. */
	private boolean abrupt;

	/** The bytes that wait until earlier requests have their responses. */
	private final ReadAhead ahead = new ReadAhead();

	private final ConnectionProgress progress = new ConnectionProgress(this.openedNs);

	private final ByteHandler byteHandler = new ByteHandler();

	/** The number of the request after whose response the caller wants no more, or 0. */
	private int lastRequest;

	/** Whether what is decoded now stands behind that request. */
	private boolean behindLast;

	/** Whether bytes are being passed to the decoder. */
	private boolean passing;

	/** Whether the application wants to read and may not yet. */
	private boolean readWanted;

	private final ConnectionGroup group;

	/** What the operating system had taken of the responses when it was last asked. */
	private volatile long takenMark;

	private volatile long takenMarkNs;

	private TrackedConnection(Channel channel, HttpListeners listeners, ConnectionGroup group) {
		this.channel = channel;
		this.listeners = listeners;
		this.group = group;
	}

	static void install(Channel channel, HttpListeners listeners, ConnectionGroup group) {
		TrackedConnection connection = new TrackedConnection(channel, listeners, group);
		channel.pipeline()
			.addBefore(NettyPipeline.HttpCodec, "fescuehold.bytes", connection.byteHandler)
			.addAfter(NettyPipeline.HttpCodec, "fescuehold.messages", connection.new MessageHandler());
		listeners.opened(connection, channel);
		channel.closeFuture().addListener((closed) -> {
			group.closed(connection);
			listeners.closed(connection, connection.end());
		});
		group.opened(connection);
	}

	private ConnectionEnd end() {
		return this.closedHere ? endIfClosed() : ConnectionEnd.PEER;
	}

	/**
	 * Returns how the connection would end if this process closed it now.
	 * @return the way in which it would end
	 */
	ConnectionEnd endIfClosed() {
		if (this.responsesBegun > this.responsesSent) {
			return ConnectionEnd.CUT;
		}
		if (this.requestsRead > this.responsesSent) {
			return ConnectionEnd.UNANSWERED;
		}
		return (this.readingHead || this.headsRead > this.responsesSent) ? ConnectionEnd.INCOMPLETE
				: ConnectionEnd.COMPLETE;
	}

	/**
	 * Returns the bytes that wait to be written.
	 * @return the number of bytes
	 */
	long unsentBytes() {
		ChannelOutboundBuffer buffer = this.channel.unsafe().outboundBuffer();
		return (buffer != null) ? buffer.totalPendingWriteBytes() : 0;
	}

	/**
	 * Returns for how long the caller has neither sent nor read anything although it is
	 * its turn.
	 * @param nowNs the time in nanoseconds
	 * @return the time in nanoseconds, 0 while the caller waits for a response
	 */
	long stalledNs(long nowNs) {
		if (this.ahead.isFull()) {
			return FULL_AHEAD_NS;
		}
		return switch (endIfClosed()) {
			case UNANSWERED, CUT -> unreadNs(nowNs);
			case INCOMPLETE, COMPLETE, PEER -> nowNs - this.progress.sinceNs();
		};
	}

	// The bytes of a response that is written in part are still pending.
	private long unreadNs(long nowNs) {
		ChannelOutboundBuffer buffer = this.channel.unsafe().outboundBuffer();
		if (buffer == null || buffer.totalPendingWriteBytes() == 0) {
			return 0;
		}
		long mark = buffer.totalPendingWriteBytes() - buffer.currentProgress();
		if (mark != this.takenMark) {
			this.takenMark = mark;
			this.takenMarkNs = nowNs;
		}
		return nowNs - this.takenMarkNs;
	}

	/**
	 * Returns whether the connection waits between two requests.
	 * @return whether a request was answered and no other one has begun
	 */
	boolean isKept() {
		return this.headsRead > 0 && endIfClosed() == ConnectionEnd.COMPLETE;
	}

	/**
	 * Closes the connection in favour of others.
	 */
	void closeStalled() {
		if (isKept()) {
			closeWhenIdle(0);
		}
		else {
			closeNow();
		}
	}

	/**
	 * Closes the connection if it has no request. If it has one, it is closed after the
	 * response.
	 * @param delayMs the time in milliseconds after which to do so
	 */
	void closeWhenIdle(long delayMs) {
		this.channel.eventLoop().schedule(this::closeIfIdle, delayMs, TimeUnit.MILLISECONDS);
	}

	// What arrived before is read, and answered if it is a request. What arrives later is
	// not read.
	private void closeIfIdle() {
		if (this.readingHead && this.headsRead == this.responsesSent) {
			int known = this.headsRead;
			this.channel.eventLoop().schedule(() -> closeIfHeadIncomplete(known), HEAD_MS, TimeUnit.MILLISECONDS);
			return;
		}
		if (!isIdle()) {
			return;
		}
		long newForMs = FIRST_REQUEST_MS - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.openedNs);
		if (this.headsRead == 0 && newForMs > 0) {
			closeWhenIdle(newForMs);
			return;
		}
		PendingInput.read(this.channel);
		if (isIdle()) {
			// The rest of a request that has its response already still arrives.
			this.lastResponse = this.headsRead > this.requestsRead;
			this.abrupt = !this.lastResponse;
			this.channel.close();
		}
	}

	private void closeIfHeadIncomplete(int knownHeads) {
		PendingInput.read(this.channel);
		if (this.readingHead && this.headsRead == knownHeads) {
			this.abrupt = true;
			this.channel.close();
		}
	}

	private boolean isIdle() {
		return !this.lingering && endIfClosed() == ConnectionEnd.COMPLETE;
	}

	/**
	 * Closes the connection, also if it has a request.
	 */
	void closeNow() {
		this.channel.eventLoop().execute(() -> {
			this.abrupt = true;
			this.channel.close();
		});
	}

	private void responseSent() throws Exception {
		this.responsesSent++;
		this.progress.responseSent();
		if (this.lastResponse) {
			this.channel.close();
			return;
		}
		this.byteHandler.resume();
		if (this.listeners.isDraining()) {
			closeWhenIdle(0);
		}
	}

	// A connection that is closed with unread input is reset, and what the caller has not
	// read yet is lost. The output of a TLS connection cannot be closed by itself.
	private boolean mayLinger() {
		boolean responds = this.lastResponse || this.responsesBegun > this.responsesSent;
		return responds && !this.abrupt && this.channel.isActive() && this.channel instanceof DuplexChannel
				&& this.channel.pipeline().get(SslHandler.class) == null;
	}

	/**
	 * Sees the bytes, and all attempts of this process to close the connection.
	 */
	private final class ByteHandler extends ChannelDuplexHandler {

		private ChannelHandlerContext context;

		@Override
		public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
			TrackedConnection connection = TrackedConnection.this;
			boolean behindLastResponse = connection.lastResponse && connection.headsRead == connection.requestsRead;
			if (connection.lingering || behindLastResponse) {
				ReferenceCountUtil.release(message);
				return;
			}
			if (!(message instanceof ByteBuf bytes)) {
				super.channelRead(ctx, message);
				return;
			}
			connection.progress.received(bytes.readableBytes());
			connection.ahead.add(bytes);
			pass(ctx);
			if (connection.ahead.isOverfull()) {
				connection.abrupt = true;
				ctx.close();
			}
		}

		// Passes what has arrived to the decoder while few requests wait for their
		// responses.
		private void pass(ChannelHandlerContext ctx) throws Exception {
			TrackedConnection connection = TrackedConnection.this;
			if (connection.passing) {
				return;
			}
			connection.passing = true;
			try {
				while (!connection.ahead.isEmpty() && !isBehind(connection)) {
					boolean betweenRequests = connection.headsRead == connection.requestsRead;
					ByteBuf bytes = connection.ahead.next(betweenRequests);
					if (betweenRequests && !isEmptyLine(bytes)) {
						connection.readingHead = true;
						connection.progress.headBegun();
					}
					ctx.fireChannelRead(bytes);
				}
			}
			finally {
				connection.passing = false;
			}
		}

		private static boolean isBehind(TrackedConnection connection) {
			return connection.headsRead == connection.requestsRead
					&& connection.requestsRead - connection.responsesSent >= ReadAhead.MAX_REQUESTS;
		}

		@Override
		public void read(ChannelHandlerContext ctx) throws Exception {
			if (TrackedConnection.this.ahead.isFull()) {
				TrackedConnection.this.readWanted = true;
			}
			else {
				super.read(ctx);
			}
		}

		// Goes on where the connection was behind with its responses.
		private void resume() throws Exception {
			TrackedConnection connection = TrackedConnection.this;
			if (connection.ahead.isEmpty() || connection.lingering || !connection.channel.isActive()) {
				return;
			}
			pass(this.context);
			this.context.fireChannelReadComplete();
			if (connection.readWanted && !connection.ahead.isFull()) {
				connection.readWanted = false;
				this.context.read();
			}
		}

		@Override
		public void handlerAdded(ChannelHandlerContext ctx) {
			this.context = ctx;
		}

		@Override
		public void handlerRemoved(ChannelHandlerContext ctx) {
			TrackedConnection.this.ahead.close();
		}

		// Some callers send an empty line after a body, which belongs to no request.
		private static boolean isEmptyLine(ByteBuf bytes) {
			return bytes.forEachByte((octet) -> octet == '\r' || octet == '\n') < 0;
		}

		@Override
		public void close(ChannelHandlerContext ctx, ChannelPromise promise) throws Exception {
			TrackedConnection connection = TrackedConnection.this;
			connection.closedHere = true;
			if (!connection.mayLinger()) {
				super.close(ctx, promise);
				return;
			}
			connection.channel.closeFuture().addListener((closed) -> promise.trySuccess());
			if (!connection.lingering) {
				connection.lingering = true;
				linger(ctx);
			}
		}

		private void linger(ChannelHandlerContext ctx) {
			ctx.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener((flushed) -> {
				if (flushed.isSuccess()) {
					((DuplexChannel) ctx.channel()).shutdownOutput();
				}
			});
			// Bytes may still arrive if the application had suspended reading.
			ctx.channel().config().setAutoRead(true);
			var timer = ctx.executor().schedule(() -> ctx.close(), LINGER_MS, TimeUnit.MILLISECONDS);
			ctx.channel().closeFuture().addListener((closed) -> timer.cancel(false));
		}

	}

	/**
	 * Sees the requests and responses.
	 */
	private final class MessageHandler extends ChannelDuplexHandler {

		@Override
		public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
			TrackedConnection connection = TrackedConnection.this;
			if (message instanceof HttpRequest request) {
				connection.readingHead = false;
				connection.behindLast |= connection.lastRequest > 0;
				if (!connection.behindLast) {
					connection.headsRead++;
					deferClose(request);
				}
			}
			if (connection.behindLast) {
				ReferenceCountUtil.release(message);
				return;
			}
			if (message instanceof LastHttpContent) {
				connection.requestsRead++;
			}
			super.channelRead(ctx, message);
		}

		// Reactor Netty ends a connection at once when it sees a request that wants this,
		// without the responses to the requests before it.
		private void deferClose(HttpRequest request) {
			TrackedConnection connection = TrackedConnection.this;
			if (connection.headsRead > connection.responsesSent + 1 && !HttpUtil.isKeepAlive(request)) {
				HttpUtil.setKeepAlive(request, true);
				connection.lastRequest = connection.headsRead;
			}
		}

		@Override
		public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) throws Exception {
			TrackedConnection connection = TrackedConnection.this;
			if (FinalResponse.begins(message) && message instanceof HttpResponse response) {
				connection.responsesBegun++;
				if (connection.responsesBegun == connection.lastRequest) {
					response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
				}
				boolean othersRead = connection.headsRead > connection.responsesBegun || !connection.ahead.isEmpty();
				if (connection.listeners.isClosing() && !othersRead) {
					response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
				}
				connection.lastResponse = !HttpUtil.isKeepAlive(response);
			}
			if (!FinalResponse.ends(message)) {
				super.write(ctx, message, promise);
				return;
			}
			super.write(ctx, message, promise.unvoid().addListener((written) -> {
				if (written.isSuccess()) {
					connection.responseSent();
				}
			}));
		}

	}

}
