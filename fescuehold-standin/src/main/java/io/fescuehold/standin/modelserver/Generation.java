package io.fescuehold.standin.modelserver;

import java.util.Arrays;

import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * One request in the batch, with the tokens generated so far. The engine modifies it
 * under its own lock; subscribers may subscribe at any time and receive all tokens from
 * the first one.
 */
final class Generation {

	/** Order of submission, which decides between requests of equal priority. */
	private final long sequence;

	private final ChatBody body;

	private final String chatId;

	private final DeterministicText text;

	private final int[] prompt;

	private final int totalTokens;

	private final Sinks.Many<Integer> positions = Sinks.many().replay().all();

	private int cachedTokens;

	private int remainingPrefillTokens;

	private int generatedTokens;

	private boolean finished;

	Generation(long sequence, ChatBody body, String chatId) {
		this.sequence = sequence;
		this.body = body;
		this.chatId = chatId;
		this.text = DeterministicText.of(body);
		this.prompt = DeterministicText.promptTokens(body);
		this.totalTokens = (body.maxTokens() > 0) ? body.maxTokens() : this.text.naturalTokens();
		this.remainingPrefillTokens = this.prompt.length;
	}

	void start(int cached) {
		this.cachedTokens = Math.min(cached, this.prompt.length);
		this.remainingPrefillTokens = this.prompt.length - this.cachedTokens;
	}

	/**
	 * Processes prompt tokens.
	 * @param budget the maximum number of tokens to process
	 * @return the number of tokens processed
	 */
	int prefill(int budget) {
		int used = Math.min(budget, this.remainingPrefillTokens);
		this.remainingPrefillTokens -= used;
		return used;
	}

	boolean prefilled() {
		return this.remainingPrefillTokens == 0;
	}

	void generateToken() {
		if (this.generatedTokens < this.totalTokens) {
			this.generatedTokens++;
			this.positions.tryEmitNext(this.generatedTokens);
		}
	}

	boolean complete() {
		return this.generatedTokens >= this.totalTokens;
	}

	void finish() {
		this.finished = true;
		this.positions.tryEmitComplete();
	}

	boolean finished() {
		return this.finished;
	}

	/**
	 * Returns the prompt and the generated tokens for the prefix cache.
	 * @return the tokens
	 */
	int[] cacheableTokens() {
		int[] all = Arrays.copyOf(this.prompt, this.prompt.length + this.generatedTokens);
		for (int position = 1; position <= this.generatedTokens; position++) {
			all[this.prompt.length + position - 1] = this.text.token(position).strip().hashCode();
		}
		return all;
	}

	/**
	 * Returns the number of tokens that remain to be prefilled and generated.
	 * @return the number of tokens
	 */
	long outstandingTokens() {
		return (this.finished) ? 0 : this.remainingPrefillTokens + (this.totalTokens - this.generatedTokens);
	}

	/**
	 * Returns the positions of the tokens as they are generated.
	 * @return 1, 2, 3 and so on; completes with the answer or when it is cancelled
	 */
	Flux<Integer> positions() {
		return this.positions.asFlux();
	}

	Mono<Void> whenFinished() {
		return this.positions.asFlux().then();
	}

	DeterministicText text() {
		return this.text;
	}

	ChatBody body() {
		return this.body;
	}

	String chatId() {
		return this.chatId;
	}

	int[] prompt() {
		return this.prompt;
	}

	long sequence() {
		return this.sequence;
	}

	int cachedTokens() {
		return this.cachedTokens;
	}

	int generatedTokens() {
		return this.generatedTokens;
	}

	String finishReason() {
		return (this.body.maxTokens() > 0) ? "length" : "stop";
	}

}
