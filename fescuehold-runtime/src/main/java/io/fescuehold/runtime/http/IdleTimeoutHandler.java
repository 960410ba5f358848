package io.fescuehold.runtime.http;

import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpRequest;
import reactor.netty.NettyPipeline;

/**
 * Closes a caller's connection when no request arrives within the idle time-out after it
 * was opened or after a response.
 */
public final class IdleTimeoutHandler extends ChannelDuplexHandler {

	private final IntSupplier idleTimeoutMs;

	/** The requests whose head was read and whose response is not sent. */
	private int openRequests;

	private Future<?> timer;

	private IdleTimeoutHandler(IntSupplier idleTimeoutMs) {
		this.idleTimeoutMs = idleTimeoutMs;
	}

	/**
	 * Adds the handler to a pipeline.
	 * @param pipeline the pipeline
	 * @param idleTimeoutMs the idle time-out in milliseconds
	 */
	public static void install(ChannelPipeline pipeline, IntSupplier idleTimeoutMs) {
		pipeline.addAfter(NettyPipeline.HttpCodec, "fescuehold.idleCloser", new IdleTimeoutHandler(idleTimeoutMs));
	}

	@Override
	public void handlerAdded(ChannelHandlerContext ctx) {
		startTimer(ctx);
	}

	private void startTimer(ChannelHandlerContext ctx) {
		cancelTimer();
		this.timer = ctx.executor().schedule(() -> ctx.close(), this.idleTimeoutMs.getAsInt(), TimeUnit.MILLISECONDS);
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
		if (message instanceof HttpRequest) {
			this.openRequests++;
			cancelTimer();
		}
		super.channelRead(ctx, message);
	}

	@Override
	public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) throws Exception {
		if (!FinalResponse.ends(message)) {
			super.write(ctx, message, promise);
			return;
		}
		super.write(ctx, message, promise.unvoid().addListener((sent) -> responseSent(ctx)));
	}

	private void responseSent(ChannelHandlerContext ctx) {
		this.openRequests--;
		if (this.openRequests == 0 && ctx.channel().isActive()) {
			startTimer(ctx);
		}
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

}
