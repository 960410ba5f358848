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
 * A TCP connection that carries frames. It sends pings while no other frames are sent,
 * and closes itself when no bytes have arrived within the silence limit.
 */
final class FrameChannel {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final int LENGTH_BYTES = 4;

	private static final String PING_GROUP = "ping";

	private static final byte[] PING_BODY = { (byte) 0x91, Frame.PING };

	private final Connection connection;

	private final TransportOptions.Limits limits;

	private final TrafficCounters counters;

	private volatile long lastReceivedNanos = System.nanoTime();

	private volatile long lastSentNanos = System.nanoTime();

	private volatile long lastMessageNanos = System.nanoTime();

	/**
	 * Adds the framing and the liveness check to a new connection.
	 * @param connection the connection
	 * @param limits the times and sizes
	 * @param counters the traffic counters
	 * @param onWritable called when the connection becomes writable again
	 */
	FrameChannel(Connection connection, TransportOptions.Limits limits, TrafficCounters counters, Runnable onWritable) {
		this.connection = connection;
		this.limits = limits;
		this.counters = counters;
		connection.addHandlerLast("frames",
				new LengthFieldBasedFrameDecoder(limits.maxFrameBytes(), 0, LENGTH_BYTES, 0, LENGTH_BYTES));
		connection.addHandlerFirst("activity", new ActivityHandler(onWritable));
		ScheduledFuture<?> activityCheck = connection.channel()
			.eventLoop()
			.scheduleAtFixedRate(this::checkActivity, limits.pingMs(), limits.pingMs(), TimeUnit.MILLISECONDS);
		connection.onDispose(() -> activityCheck.cancel(false));
	}

	private void checkActivity() {
		long now = System.nanoTime();
		if (now - this.lastReceivedNanos > TimeUnit.MILLISECONDS.toNanos(this.limits.silenceMs())) {
			this.counters.silentConnection();
			close();
		}
		else if (now - this.lastSentNanos > TimeUnit.MILLISECONDS.toNanos(this.limits.pingMs()) / 2) {
			write(PING_BODY, PING_GROUP);
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
			// Closing the connection fails the requests that wait for a reply on it.
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

	/** Records that a frame other than a ping was sent or received. */
	void recordMessage() {
		this.lastMessageNanos = System.nanoTime();
	}

	/**
	 * Returns whether no message has been sent or received for the idle time.
	 * @return whether the connection may be closed
	 */
	boolean isIdle() {
		return System.nanoTime() - this.lastMessageNanos > TimeUnit.MILLISECONDS.toNanos(this.limits.idleMs());
	}

	/**
	 * Returns whether the write buffer of the connection accepts more bytes.
	 * @return whether the connection is writable
	 */
	boolean isWritable() {
		return this.connection.channel().isWritable();
	}

	/**
	 * Returns how many buffered bytes must be written to the socket until the connection
	 * is writable.
	 * @return the number of bytes, 0 if the connection is writable
	 */
	long bytesBeforeWritable() {
		return this.connection.channel().bytesBeforeWritable();
	}

	/** Closes the connection. */
	void close() {
		this.connection.channel().close();
	}

	/**
	 * Records when bytes arrive. Bytes are observed instead of decoded frames, because a
	 * large frame can take longer than the silence limit on a slow link.
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
