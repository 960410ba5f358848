package io.fescuehold.runtime.http;

import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.concurrent.Future;
import reactor.netty.NettyPipeline;

/**
 * Closes a connection whose request head is not complete within a time-out, which starts
 * at the first byte of the head.
 */
public final class RequestHeadTimer extends ChannelInboundHandlerAdapter {

	private final int timeoutMs;

	/** The requests whose head was read and whose response has not ended. */
	private int openRequests;

	private Future<?> timer;

	private RequestHeadTimer(int timeoutMs) {
		this.timeoutMs = timeoutMs;
	}

	/**
	 * Adds the timer to a pipeline.
	 * @param pipeline the pipeline
	 * @param timeoutMs the maximum time in milliseconds to receive a request head
	 */
	public static void install(ChannelPipeline pipeline, int timeoutMs) {
		RequestHeadTimer timer = new RequestHeadTimer(timeoutMs);
		pipeline.addBefore(NettyPipeline.HttpCodec, "fescuehold.headTimer", timer);
		pipeline.addAfter(NettyPipeline.HttpCodec, "fescuehold.headEnd", timer.new HeadEndDetector());
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
		if (this.openRequests == 0 && this.timer == null) {
			this.timer = ctx.executor().schedule(() -> ctx.close(), this.timeoutMs, TimeUnit.MILLISECONDS);
		}
		super.channelRead(ctx, message);
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) throws Exception {
		cancelTimer();
		super.channelInactive(ctx);
	}

	private void cancelTimer() {
		if (this.timer != null) {
			this.timer.cancel(false);
			this.timer = null;
		}
	}

	/**
	 * Detects the end of a request head, and the end of a response, after which the next
	 * request head may arrive.
	 */
	private final class HeadEndDetector extends ChannelDuplexHandler {

		@Override
		public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
			if (message instanceof HttpRequest) {
				RequestHeadTimer.this.openRequests++;
				cancelTimer();
			}
			super.channelRead(ctx, message);
		}

		@Override
		public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) throws Exception {
			if (FinalResponse.ends(message)) {
				RequestHeadTimer.this.openRequests--;
			}
			super.write(ctx, message, promise);
		}

	}

}
