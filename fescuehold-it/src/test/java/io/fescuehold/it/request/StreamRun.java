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
 * One streamed chat answer as its caller sees it, with the longest wait between pieces.
 */
final class StreamRun {

	/** Two seconds of generation at 20 ms per token, so that faults hit mid-stream. */
	static final int TOKENS = 100;

	private final CountDownLatch ended = new CountDownLatch(1);

	private final StringBuilder text = new StringBuilder();

	private final String expected;

	private int pieces;

	private long lastNanos;

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
			.subscribe(run::piece, run::failed, run::end);
		return run;
	}

	private synchronized void piece(String piece) {
		measure();
		this.pieces++;
		this.text.append(piece);
	}

	private void measure() {
		long now = System.nanoTime();
		this.largestGapNanos = (this.pieces > 0) ? Math.max(this.largestGapNanos, now - this.lastNanos) : 0;
		this.lastNanos = now;
	}

	private synchronized void failed(Throwable ex) {
		this.failure = ex;
		end();
	}

	private synchronized void end() {
		measure();
		this.ended.countDown();
	}

	synchronized int pieces() {
		return this.pieces;
	}

	/**
	 * Waits until the stream is under way.
	 * @param count the pieces to wait for
	 * @return this stream
	 */
	StreamRun awaitPieces(int count) {
		Eventually.isTrue("The stream has " + count + " pieces", Duration.ofSeconds(10), () -> pieces() >= count);
		return this;
	}

	/**
	 * Waits for the end of the stream.
	 * @param limit the time to wait at most
	 * @return this stream
	 */
	StreamRun await(Duration limit) {
		try {
			if (!this.ended.await(limit.toMillis(), TimeUnit.MILLISECONDS)) {
				throw new AssertionError(
						"The stream hangs after " + pieces() + " pieces and " + limit.toMillis() + " ms");
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
	 * Returns whether what has arrived is the beginning of the right answer.
	 * @return whether nothing is wrong, missing or repeated so far
	 */
	synchronized boolean prefix() {
		return this.expected.startsWith(this.text.toString());
	}

	synchronized FescueholdClientException refusal() {
		return (this.failure instanceof FescueholdClientException ex) ? ex : null;
	}

	synchronized String describe() {
		return ((this.failure != null) ? this.failure.toString() : "text") + " after " + this.pieces + " pieces: "
				+ this.text;
	}

	synchronized long largestGapMs() {
		return TimeUnit.NANOSECONDS.toMillis(this.largestGapNanos);
	}

}
