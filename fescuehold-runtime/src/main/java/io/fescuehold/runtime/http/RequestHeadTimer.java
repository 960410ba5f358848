package io.fescuehold.runtime.http;

import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import reactor.netty.NettyPipeline;

/**
 * Closes a connection whose request head does not arrive in time after its first byte.
 */
public final class RequestHeadTimer extends ChannelInboundHandlerAdapter {

	private final int timeoutMs;

	private boolean receivingHead = true;

	private Future<?> timer;

	private RequestHeadTimer(int timeoutMs) {
		this.timeoutMs = timeoutMs;
	}

	/**
	 * Adds the timer to a pipeline.
	 * @param pipeline the pipeline
	 * @param timeoutMs the longest time in milliseconds for a request head
	 */
	public static void install(ChannelPipeline pipeline, int timeoutMs) {
		RequestHeadTimer timer = new RequestHeadTimer(timeoutMs);
		pipeline.addBefore(NettyPipeline.HttpCodec, "fescuehold.headTimer", timer);
		pipeline.addAfter(NettyPipeline.HttpCodec, "fescuehold.headEnd", timer.new HeadEnd());
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
		if (this.receivingHead && this.timer == null) {
			this.timer = ctx.executor().schedule(() -> ctx.close(), this.timeoutMs, TimeUnit.MILLISECONDS);
		}
		super.channelRead(ctx, message);
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) throws Exception {
		stop();
		super.channelInactive(ctx);
	}

	private void stop() {
		if (this.timer != null) {
			this.timer.cancel(false);
			this.timer = null;
		}
	}

	/**
	 * Sees the decoded messages.
	 */
	private final class HeadEnd extends ChannelDuplexHandler {

		@Override
		public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
			if (message instanceof HttpRequest) {
				RequestHeadTimer.this.receivingHead = false;
				stop();
			}
			super.channelRead(ctx, message);
		}

		@Override
		public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) throws Exception {
			if (message instanceof LastHttpContent) {
				RequestHeadTimer.this.receivingHead = true;
			}
			super.write(ctx, message, promise);
		}

	}

}
