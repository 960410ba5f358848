package io.fescuehold.runtime.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import reactor.netty.NettyPipeline;

/**
 * One connection of a caller: what was read of its requests and written of their
 * responses. The counts are changed on the thread of the connection only.
 */
final class TrackedConnection {

	private final Channel channel;

	private final HttpListeners listeners;

	private volatile boolean readingHead;

	private volatile int headsRead;

	private volatile int requestsRead;

	private volatile int responsesBegun;

	/** The responses that the operating system has taken completely. */
	private volatile int responsesSent;

	private boolean closedHere;

	private TrackedConnection(Channel channel, HttpListeners listeners) {
		this.channel = channel;
		this.listeners = listeners;
	}

	static void install(Channel channel, HttpListeners listeners) {
		TrackedConnection connection = new TrackedConnection(channel, listeners);
		channel.pipeline()
			.addBefore(NettyPipeline.HttpCodec, "fescuehold.bytes", connection.new ByteHandler())
			.addAfter(NettyPipeline.HttpCodec, "fescuehold.messages", connection.new MessageHandler());
		listeners.opened(connection);
		channel.closeFuture().addListener((closed) -> listeners.closed(connection, connection.end()));
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
	 * Sees the bytes, and all attempts to close the connection.
	 */
	private final class ByteHandler extends ChannelDuplexHandler {

		@Override
		public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
			TrackedConnection connection = TrackedConnection.this;
			if (connection.headsRead == connection.requestsRead) {
				connection.readingHead = true;
			}
			super.channelRead(ctx, message);
		}

		@Override
		public void close(ChannelHandlerContext ctx, ChannelPromise promise) throws Exception {
			TrackedConnection.this.closedHere = true;
			super.close(ctx, promise);
		}

	}

	/**
	 * Sees the requests and responses.
	 */
	private final class MessageHandler extends ChannelDuplexHandler {

		@Override
		public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
			TrackedConnection connection = TrackedConnection.this;
			if (message instanceof HttpRequest) {
				connection.readingHead = false;
				connection.headsRead++;
			}
			if (message instanceof LastHttpContent) {
				connection.requestsRead++;
			}
			super.channelRead(ctx, message);
		}

		@Override
		public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) throws Exception {
			TrackedConnection connection = TrackedConnection.this;
			if (message instanceof HttpResponse response
					&& response.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
				connection.responsesBegun++;
			}
			if (!(message instanceof LastHttpContent) || connection.responsesBegun == connection.responsesSent) {
				super.write(ctx, message, promise);
				return;
			}
			super.write(ctx, message, promise.unvoid().addListener((written) -> {
				if (written.isSuccess()) {
					connection.responsesSent++;
				}
			}));
		}

	}

}
