package io.fescuehold.bench.load;

import java.util.ArrayList;
import java.util.List;

import org.kohsuke.args4j.Option;

/**
 * The options of {@link LoadMain}.
 */
final class LoadOptions {

	static final int MAX_RATE_PER_S = 5_000;

	static final int MAX_SECONDS = 300;

	@Option(name = "--entry", metaVar = "IP:PORT", usage = "address of a router for callers; may be repeated",
			required = true)
	private List<String> entries = new ArrayList<>();

	@Option(name = "--team", usage = "team; may be repeated", required = true)
	private List<String> teams = new ArrayList<>();

	@Option(name = "--model", usage = "model", required = true)
	private String model;

	@Option(name = "--chats", usage = "number of chats that return")
	private int chats = 200;

	@Option(name = "--rate", usage = "requests a second, at most " + MAX_RATE_PER_S)
	private int ratePerS = 50;

	@Option(name = "--seconds", usage = "length of the run, at most " + MAX_SECONDS)
	private int seconds = 20;

	@Option(name = "--max-tokens", usage = "tokens of an answer")
	private int maxTokens = 32;

	@Option(name = "--seed", usage = "seed of arrivals and chats")
	private long seed = 1;

	/**
	 * Checks that the options are in range.
	 * @throws IllegalArgumentException if the rate or the duration is out of range or an
	 * entry is not a loopback address
	 */
	void check() {
		if (this.ratePerS < 1 || this.ratePerS > MAX_RATE_PER_S || this.seconds < 1 || this.seconds > MAX_SECONDS) {
			throw new IllegalArgumentException("--rate is " + this.ratePerS + " and --seconds is " + this.seconds
					+ "; use 1 to " + MAX_RATE_PER_S + " and 1 to " + MAX_SECONDS);
		}
		for (String entry : this.entries) {
			if (!entry.startsWith("127.")) {
				throw new IllegalArgumentException(
						"--entry is " + entry + "; only loopback addresses are allowed, use 127.0.0.1:PORT");
			}
		}
	}

	List<String> entries() {
		return this.entries;
	}

	List<String> teams() {
		return this.teams;
	}

	String model() {
		return this.model;
	}

	int chats() {
		return this.chats;
	}

	int ratePerS() {
		return this.ratePerS;
	}

	int seconds() {
		return this.seconds;
	}

	int maxTokens() {
		return this.maxTokens;
	}

	long seed() {
		return this.seed;
	}

}
