package io.fescuehold.runtime.backend;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Closes a pooled connection on which a response arrives that no request asked for, so
 * that a late or duplicate response is never taken for that of the next request.
 */
final class IdleReadGuard extends ChannelDuplexHandler {

	static final String NAME = "fescuehold.idleReadGuard";

	private boolean awaiting;

	private boolean informational;

	@Override
	public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) throws Exception {
		if (message instanceof HttpRequest) {
			this.awaiting = true;
		}
		super.write(ctx, message, promise);
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
		if (!this.awaiting) {
			ReferenceCountUtil.release(message);
			ctx.close();
			return;
		}
		if (message instanceof HttpResponse response) {
			this.informational = response.status().code() < HttpResponseStatus.OK.code();
		}
		if (message instanceof LastHttpContent && !this.informational) {
			this.awaiting = false;
		}
		super.channelRead(ctx, message);
	}

}
