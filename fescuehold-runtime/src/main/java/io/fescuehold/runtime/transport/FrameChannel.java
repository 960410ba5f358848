package io.fescuehold.runtime.transport;

import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.util.concurrent.ScheduledFuture;
import reactor.netty.Connection;

/**
 * One TCP connection that carries frames. It pings the other side and closes itself when
 * nothing has arrived for the silence limit.
 */
final class FrameChannel {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final int LENGTH_BYTES = 4;

	private static final String PING_GROUP = "ping";

	private static final byte[] PING = { (byte) 0x91, Frame.PING };

	private final Connection connection;

	private final TransportOptions.Limits limits;

	private final TrafficCounters counters;

	private volatile long lastReceivedNanos = System.nanoTime();

	private volatile long lastSentNanos = System.nanoTime();

	private volatile long lastMessageNanos = System.nanoTime();

	/**
	 * Prepares a new connection.
	 * @param connection the connection
	 * @param limits the times and sizes
	 * @param counters the counters of bytes
	 * @param onWritable is called when the connection accepts more bytes
	 */
	FrameChannel(Connection connection, TransportOptions.Limits limits, TrafficCounters counters, Runnable onWritable) {
		this.connection = connection;
		this.limits = limits;
		this.counters = counters;
		connection.addHandlerLast("frames",
				new LengthFieldBasedFrameDecoder(limits.maxFrameBytes(), 0, LENGTH_BYTES, 0, LENGTH_BYTES));
		connection.addHandlerFirst("activity", new ActivityHandler(onWritable));
		ScheduledFuture<?> watch = connection.channel()
			.eventLoop()
			.scheduleAtFixedRate(this::watch, limits.pingMs(), limits.pingMs(), TimeUnit.MILLISECONDS);
		connection.onDispose(() -> watch.cancel(false));
	}

	private void watch() {
		long now = System.nanoTime();
		if (now - this.lastReceivedNanos > TimeUnit.MILLISECONDS.toNanos(this.limits.silenceMs())) {
			this.counters.silent();
			close();
		}
		else if (now - this.lastSentNanos > TimeUnit.MILLISECONDS.toNanos(this.limits.pingMs()) / 2) {
			write(PING, PING_GROUP);
		}
	}

	/**
	 * Writes a frame.
	 * @param body the body
	 * @param group the message group, for the counters
	 */
	void write(byte[] body, String group) {
		Channel channel = this.connection.channel();
		if (!channel.isActive()) {
			// The end of the connection has already failed whatever waits for a reply.
			logger.atInfo()
				.atMostEvery(1, TimeUnit.SECONDS)
				.log("A message of group %s was not sent because its connection has been closed", group);
			return;
		}
		ByteBuf buffer = channel.alloc().buffer(LENGTH_BYTES + body.length);
		buffer.writeInt(body.length).writeBytes(body);
		channel.writeAndFlush(buffer);
		this.lastSentNanos = System.nanoTime();
		this.counters.sent(group, body.length);
	}

	/** Notes that a frame other than a ping was sent or received. */
	void messageSeen() {
		this.lastMessageNanos = System.nanoTime();
	}

	/**
	 * Tells whether no message has been sent or received for the idle time.
	 * @return whether the connection may be closed
	 */
	boolean isIdle() {
		return System.nanoTime() - this.lastMessageNanos > TimeUnit.MILLISECONDS.toNanos(this.limits.idleMs());
	}

	/**
	 * Tells whether the connection accepts more bytes now.
	 * @return whether it does
	 */
	boolean isWritable() {
		return this.connection.channel().isWritable();
	}

	/**
	 * Returns the bytes that wait to be written to the socket.
	 * @return the bytes
	 */
	long pendingBytes() {
		return this.connection.channel().bytesBeforeWritable();
	}

	/** Closes the connection. */
	void close() {
		this.connection.channel().close();
	}

	/**
	 * Notes arriving bytes. Whole frames are not used for this, because a large frame on
	 * a slow link takes longer than the silence limit.
	 */
	private final class ActivityHandler extends ChannelInboundHandlerAdapter {

		private final Runnable onWritable;

		ActivityHandler(Runnable onWritable) {
			this.onWritable = onWritable;
		}

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			FrameChannel.this.lastReceivedNanos = System.nanoTime();
			context.fireChannelRead(message);
		}

		@Override
		public void channelWritabilityChanged(ChannelHandlerContext context) {
			if (context.channel().isWritable()) {
				this.onWritable.run();
			}
			context.fireChannelWritabilityChanged();
		}

	}

}
