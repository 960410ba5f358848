package io.fescuehold.runtime.gateway;

import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import reactor.netty.NettyPipeline;

/**
 * Closes a caller's connection that has carried no request for the idle time in force.
 */
final class IdleCloser extends ChannelDuplexHandler {

	private final IntSupplier idleMs;

	private Future<?> timer;

	private IdleCloser(IntSupplier idleMs) {
		this.idleMs = idleMs;
	}

	static void install(ChannelPipeline pipeline, IntSupplier idleMs) {
		pipeline.addAfter(NettyPipeline.HttpCodec, "fescuehold.idleCloser", new IdleCloser(idleMs));
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
		if (message instanceof HttpRequest) {
			stop();
		}
		super.channelRead(ctx, message);
	}

	@Override
	public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) throws Exception {
		if (message instanceof LastHttpContent) {
			stop();
			this.timer = ctx.executor().schedule(() -> ctx.close(), this.idleMs.getAsInt(), TimeUnit.MILLISECONDS);
		}
		super.write(ctx, message, promise);
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

}
