package io.fescuehold.runtime.http;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.IntSupplier;

import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.error.RunStatus;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpServerCodec;
import reactor.netty.NettyPipeline;

/**
 * Counts the request heads of one connection, including those that wait behind another
 * request, against the memory of the host. Used on the thread of the connection only.
 */
public final class ConnectionAccount {

	/** The memory of a request beside its fields and its body. */
	static final int REQUEST_BYTES = 2_048;

	/** Memory is reserved in steps, so that an ordinary head takes one of them. */
	private static final int STEP_BYTES = 4_096;

	private static final int MAX_REQUEST_LINE_BYTES = 8_192;

	/** Bounds a single field, which is held before its size is known. */
	private static final int MAX_HEAD_BYTES = 65_536;

	/** Other hosts may take the request at once. */
	private static final long MEMORY_RETRY_AFTER_MS = 200;

	private final ByteBudget.Lease lease;

	private final IntSupplier maxHeadBytes;

	private final Channel channel;

	/** The heads whose response has not ended, oldest first. */
	private final Queue<CountedHeaders> open = new ArrayDeque<>();

	private ConnectionAccount(Channel channel, ByteBudget budget, IntSupplier maxHeadBytes) {
		this.channel = channel;
		this.lease = budget.lease();
		this.maxHeadBytes = maxHeadBytes;
	}

	/**
	 * Replaces the decoder of a connection by one that counts heads and trailers.
	 * @param channel the connection
	 * @param budget the memory of the host
	 * @param maxHeadBytes the maximum size of the fields of a head, read at the beginning
	 * of each head
	 */
	public static void install(Channel channel, ByteBudget budget, IntSupplier maxHeadBytes) {
		ConnectionAccount account = new ConnectionAccount(channel, budget, maxHeadBytes);
		HttpDecoderConfig config = new HttpDecoderConfig().setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
			.setMaxHeaderSize(MAX_HEAD_BYTES)
			.setHeadersFactory(account.new HeadFactory())
			.setTrailersFactory(account.new TrailerFactory());
		channel.pipeline().replace(NettyPipeline.HttpCodec, NettyPipeline.HttpCodec, new HttpServerCodec(config));
		channel.pipeline().addAfter(NettyPipeline.HttpCodec, "fescuehold.account", account.new ResponseEnd());
		channel.closeFuture().addListener((closed) -> account.lease.close());
	}

	/**
	 * Checks the size of a head.
	 * @param head the fields of a head
	 * @param budget the memory of the host
	 * @throws FescueholdException with code HEAD_TOO_LARGE or HOST_MEMORY_FULL if its
	 * fields were dropped
	 */
	public static void check(HttpHeaders head, ByteBudget budget) {
		if (!(head instanceof CountedHeaders counted)) {
			return;
		}
		switch (counted.excess()) {
			case TOO_LARGE ->
				throw new FescueholdException(ErrorCode.HEAD_TOO_LARGE, counted.receivedBytes(), counted.maxBytes());
			case MEMORY_FULL -> throw FescueholdException.of(ErrorCode.HOST_MEMORY_FULL, RunStatus.NO,
					MEMORY_RETRY_AFTER_MS, budget.heldBytes(), budget.maxBytes());
			case NONE -> {
			}
		}
	}

	// A connection that is behind with its answers can only be closed, because a refusal
	// would have to wait for them.
	private void begin(CountedHeaders head) {
		this.open.add(head);
		if (!head.tryCharge(REQUEST_BYTES)) {
			head.exceed(HeadExcess.MEMORY_FULL);
			if (this.open.size() > 1) {
				this.channel.close();
			}
		}
	}

	/**
	 * Reserves memory for a head.
	 * @return the number of bytes that the host may hold more, or 0 if it may not
	 */
	int reserveStep() {
		return this.lease.tryReserve(STEP_BYTES) ? STEP_BYTES : 0;
	}

	/**
	 * Returns memory of a head.
	 * @param bytes the number of bytes
	 */
	void release(long bytes) {
		this.lease.release(bytes);
	}

	/**
	 * Creates the fields of a head.
	 */
	private final class HeadFactory implements HttpHeadersFactory {

		@Override
		public HttpHeaders newHeaders() {
			ConnectionAccount account = ConnectionAccount.this;
			CountedHeaders head = new CountedHeaders(account, account.maxHeadBytes.getAsInt());
			account.begin(head);
			return head;
		}

		@Override
		public HttpHeaders newEmptyHeaders() {
			return newHeaders();
		}

	}

	/**
	 * Creates the fields of a trailer, none of which is used.
	 */
	private final class TrailerFactory implements HttpHeadersFactory {

		@Override
		public HttpHeaders newHeaders() {
			return new CountedHeaders(ConnectionAccount.this, 0);
		}

		@Override
		public HttpHeaders newEmptyHeaders() {
			return newHeaders();
		}

	}

	/**
	 * Sees the ends of responses.
	 */
	private final class ResponseEnd extends ChannelOutboundHandlerAdapter {

		@Override
		public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) throws Exception {
			if (FinalResponse.ends(message)) {
				CountedHeaders oldest = ConnectionAccount.this.open.poll();
				if (oldest != null) {
					oldest.release();
				}
			}
			super.write(ctx, message, promise);
		}

	}

}
