package io.fescuehold.runtime.backend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import reactor.netty.NettyPipeline;

/**
 * Closes a pooled connection on which unsolicited bytes arrive, so that a late or
 * duplicate response, or a fragment of one, is never taken for the response to the next
 * request. A fragment left in the decoder would otherwise be completed by the bytes that
 * follow the next request. Also closes a connection on which the server sends too many
 * informational responses, or a status line that is none of HTTP/1: it must neither reach
 * a caller nor count as informational, which would keep the caller waiting.
 */
final class IdleReadGuard extends ChannelDuplexHandler {

	private static final String NAME = "fescuehold.idleReadGuard";

	/** Servers send one or two per response; without a limit there may be no end. */
	private static final int MAX_INFORMATIONAL = 16;

	private static final int FIRST_STATUS = 100;

	private static final int LAST_STATUS = 599;

	private boolean awaitingResponse;

	private boolean informationalResponse;

	private int informationalCount;

	private IdleReadGuard() {
	}

	/**
	 * Adds the guard to the pipeline of a connection to a server.
	 * @param pipeline the pipeline
	 */
	static void install(ChannelPipeline pipeline) {
		IdleReadGuard guard = new IdleReadGuard();
		pipeline.addBefore(NettyPipeline.HttpCodec, NAME + ".bytes", guard.new UndecodedBytesHandler());
		pipeline.addAfter(NettyPipeline.HttpCodec, NAME, guard);
	}

	@Override
	public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) throws Exception {
		if (message instanceof HttpRequest) {
			this.awaitingResponse = true;
			this.informationalCount = 0;
		}
		super.write(ctx, message, promise);
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
		if (!this.awaitingResponse) {
			ReferenceCountUtil.release(message);
			ctx.close();
			return;
		}
		if (message instanceof HttpResponse response) {
			if (!isValid(response)) {
				this.awaitingResponse = false;
				ReferenceCountUtil.release(message);
				ctx.fireExceptionCaught(new BackendFailure(BackendFailure.Kind.PROTOCOL,
						"the status line is invalid: status " + response.status().code(), null));
				ctx.close();
				return;
			}
			this.informationalResponse = response.status().code() < HttpResponseStatus.OK.code();
			this.informationalCount += this.informationalResponse ? 1 : 0;
		}
		// Reactor Netty would treat an informational response as the final one.
		if (this.informationalResponse) {
			ReferenceCountUtil.release(message);
			if (this.informationalCount > MAX_INFORMATIONAL) {
				ctx.close();
			}
			return;
		}
		if (message instanceof LastHttpContent) {
			this.awaitingResponse = false;
		}
		super.channelRead(ctx, message);
	}

	private static boolean isValid(HttpResponse response) {
		HttpVersion version = response.protocolVersion();
		int status = response.status().code();
		return (version.equals(HttpVersion.HTTP_1_1) || version.equals(HttpVersion.HTTP_1_0)) && status >= FIRST_STATUS
				&& status <= LAST_STATUS
				&& response.status().reasonPhrase().chars().noneMatch((c) -> Character.isISOControl(c) && c != '\t');
	}

	/** Inspects the bytes before they are decoded. */
	private final class UndecodedBytesHandler extends ChannelInboundHandlerAdapter {

		@Override
		public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
			if (!IdleReadGuard.this.awaitingResponse) {
				ReferenceCountUtil.release(message);
				ctx.close();
				return;
			}
			if (!(message instanceof ByteBuf bytes)) {
				super.channelRead(ctx, message);
				return;
			}
			// The decoder retains this buffer until it has read all of it, unless it had
			// to merge it with earlier bytes. A duplicate response among leftover bytes
			// that were merged is still recognised by its request id.
			bytes.retain();
			try {
				super.channelRead(ctx, bytes);
				if (!IdleReadGuard.this.awaitingResponse && bytes.isReadable()) {
					ctx.close();
				}
			}
			finally {
				bytes.release();
			}
		}

	}

}
