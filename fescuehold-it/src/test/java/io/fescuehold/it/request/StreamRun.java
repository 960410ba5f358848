package io.fescuehold.it.request;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.fescuehold.client.ChatMessage;
import io.fescuehold.client.ChatRequest;
import io.fescuehold.client.FescueholdClient;
import io.fescuehold.client.FescueholdClientException;
import io.fescuehold.it.harness.Eventually;
import io.fescuehold.standin.modelserver.ChatBody;
import io.fescuehold.standin.modelserver.DeterministicText;

/**
 * One streamed chat response as its caller receives it, with the longest time between
 * chunks.
 */
final class StreamRun {

	/**
	 * At 20 ms per token, generation takes 2 s, so that faults are injected mid-stream.
	 */
	static final int TOKENS = 100;

	private final CountDownLatch done = new CountDownLatch(1);

	private final StringBuilder text = new StringBuilder();

	private final String expected;

	private int chunkCount;

	private long lastChunkNanos;

	private long largestGapNanos;

	private Throwable failure;

	private StreamRun(String expected) {
		this.expected = expected;
	}

	/**
	 * Starts a stream.
	 * @param client the caller
	 * @param chat the chat id, which also is the prompt
	 * @return the running stream
	 */
	static StreamRun start(FescueholdClient client, String chat) {
		ChatBody body = new ChatBody(RequestFleet.MODEL, List.of(new ChatBody.Message("user", "about " + chat)), true,
				TOKENS, 0, false);
		StreamRun run = new StreamRun(DeterministicText.of(body).text(TOKENS));
		client.chat(ChatRequest.of(RequestFleet.MODEL, chat, ChatMessage.user("about " + chat)).withMaxTokens(TOKENS))
			.subscribe(run::onChunk, run::onError, run::onComplete);
		return run;
	}

	private synchronized void onChunk(String chunk) {
		measureGap();
		this.chunkCount++;
		this.text.append(chunk);
	}

	private void measureGap() {
		long now = System.nanoTime();
		this.largestGapNanos = (this.chunkCount > 0) ? Math.max(this.largestGapNanos, now - this.lastChunkNanos) : 0;
		this.lastChunkNanos = now;
	}

	private synchronized void onError(Throwable ex) {
		this.failure = ex;
		onComplete();
	}

	private synchronized void onComplete() {
		measureGap();
		this.done.countDown();
	}

	synchronized int chunkCount() {
		return this.chunkCount;
	}

	/**
	 * Waits until a number of chunks have arrived.
	 * @param count the number of chunks
	 * @return this stream
	 */
	StreamRun awaitChunks(int count) {
		Eventually.isTrue("The stream has " + count + " chunks", Duration.ofSeconds(10), () -> chunkCount() >= count);
		return this;
	}

	/**
	 * Waits until the stream has ended.
	 * @param timeout the longest time to wait
	 * @return this stream
	 */
	StreamRun await(Duration timeout) {
		try {
			if (!this.done.await(timeout.toMillis(), TimeUnit.MILLISECONDS)) {
				throw new AssertionError(
						"The stream did not end after " + chunkCount() + " chunks and " + timeout.toMillis() + " ms");
			}
			return this;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("The wait was interrupted", ex);
		}
	}

	synchronized boolean complete() {
		return this.failure == null && this.expected.contentEquals(this.text);
	}

	/**
	 * Returns whether the received text is a prefix of the expected text.
	 * @return whether no text is wrong, missing or repeated so far
	 */
	synchronized boolean isPrefixOfExpected() {
		return this.expected.startsWith(this.text.toString());
	}

	synchronized FescueholdClientException clientFailure() {
		return (this.failure instanceof FescueholdClientException ex) ? ex : null;
	}

	synchronized String describe() {
		return ((this.failure != null) ? this.failure.toString() : "text") + " after " + this.chunkCount + " chunks: "
				+ this.text;
	}

	synchronized long largestGapMs() {
		return TimeUnit.NANOSECONDS.toMillis(this.largestGapNanos);
	}

}
