package io.fescuehold.runtime.gateway;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

import io.fescuehold.runtime.http.RequestHeadTimer;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.Test;
import reactor.netty.NettyPipeline;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a connection that is closed without a response while its request is
 * served, because 100 (Continue) was taken for the end of the response (LOST).
 */
class ExpectContinueTests {

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

}
