package io.fescuehold.runtime.gateway;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

import io.fescuehold.runtime.http.IdleTimeoutHandler;
import io.fescuehold.runtime.http.RequestHeadTimer;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import org.junit.jupiter.api.Test;
import reactor.netty.NettyPipeline;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against timers that close a connection while a request on it has no response, or
 * while its response is not sent (LOST).
 */
class ConnectionTimerTests {

	private static final int TIMEOUT_MS = 3_000;

	private static EmbeddedChannel channel() {
		EmbeddedChannel channel = new EmbeddedChannel();
		channel.pipeline().addLast(NettyPipeline.HttpCodec, new HttpServerCodec());
		return channel;
	}

	private static void requestWithContinue(EmbeddedChannel channel) {
		write(channel, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n");
		channel.writeOutbound(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
		write(channel, "body");
	}

	private static void write(EmbeddedChannel channel, String text) {
		channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
	}

	private static void respond(EmbeddedChannel channel) {
		DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
		response.headers().set("Content-Length", "0");
		channel.writeOutbound(response);
	}

	private static void pass(EmbeddedChannel channel, long timeMs) {
		channel.advanceTimeBy(timeMs, TimeUnit.MILLISECONDS);
		channel.runScheduledPendingTasks();
	}

	// 100 (Continue) was taken for the end of the response.
	@Test
	void requestMayTakeLongerThanTheHeadOfTheNextOne() {
		EmbeddedChannel channel = channel();
		RequestHeadTimer.install(channel.pipeline(), TIMEOUT_MS);
		requestWithContinue(channel);
		pass(channel, 2 * TIMEOUT_MS);
		assertThat(channel.isOpen()).isTrue();
		respond(channel);
		write(channel, "POST /y");
		pass(channel, 2 * TIMEOUT_MS);
		assertThat(channel.isOpen()).as("head of the next request is incomplete").isFalse();
	}

	// 100 (Continue) was taken for the end of the response.
	@Test
	void requestMayTakeLongerThanTheIdleTimeout() {
		EmbeddedChannel channel = channel();
		IdleTimeoutHandler.install(channel.pipeline(), () -> TIMEOUT_MS);
		requestWithContinue(channel);
		pass(channel, 2 * TIMEOUT_MS);
		assertThat(channel.isOpen()).isTrue();
		respond(channel);
		pass(channel, 2 * TIMEOUT_MS);
		assertThat(channel.isOpen()).as("idle after the response").isFalse();
	}

	// The end of the first response started the timer of a head that had been read.
	@Test
	void requestBehindAnotherMayTakeLongerThanAHead() {
		EmbeddedChannel channel = channel();
		RequestHeadTimer.install(channel.pipeline(), TIMEOUT_MS);
		write(channel, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nPOST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n");
		respond(channel);
		write(channel, "body");
		pass(channel, 2 * TIMEOUT_MS);
		assertThat(channel.isOpen()).isTrue();
	}

	// The idle time-out began when the end of the response was queued, and cut slow
	// readers.
	@Test
	void idleTimeoutBeginsWhenTheResponseIsSent() {
		EmbeddedChannel channel = new EmbeddedChannel();
		SlowReader reader = new SlowReader();
		channel.pipeline().addLast(reader).addLast(NettyPipeline.HttpCodec, new HttpServerCodec());
		IdleTimeoutHandler.install(channel.pipeline(), () -> TIMEOUT_MS);
		write(channel, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
		respond(channel);
		pass(channel, 2 * TIMEOUT_MS);
		assertThat(channel.isOpen()).isTrue();
		reader.written.setSuccess();
		pass(channel, 2 * TIMEOUT_MS);
		assertThat(channel.isOpen()).as("idle after the response").isFalse();
	}

	/**
	 * Holds what is written until the test lets it go.
	 */
	private static final class SlowReader extends ChannelOutboundHandlerAdapter {

		private ChannelPromise written;

		@Override
		public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
			ReferenceCountUtil.release(message);
			this.written = promise;
		}

	}

}
