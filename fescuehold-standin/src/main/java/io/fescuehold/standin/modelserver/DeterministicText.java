package io.fescuehold.standin.modelserver;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.List;

/**
 * The answer to a chat request as a pure function of the request. Token N is the same on
 * every server, so that a continuation can be compared with the uninterrupted answer. A
 * token is a word followed by a space; the tokens of a text are its words.
 */
public final class DeterministicText {

	private static final int MIN_LENGTH = 24;

	private static final int LENGTH_SPREAD = 73;

	private static final int WORD_MASK = 0xFFFFF;

	private final long seed;

	private final int skippedTokens;

	private DeterministicText(long seed, int skippedTokens) {
		this.seed = seed;
		this.skippedTokens = skippedTokens;
	}

	/**
	 * Returns the answer to a request.
	 * @param body the request
	 * @return the answer; starts after the tokens of the last message if that is an
	 * incomplete answer
	 */
	public static DeterministicText of(ChatBody body) {
		List<ChatBody.Message> messages = body.messages();
		int skippedTokens = 0;
		if (body.continueFinalMessage()) {
			skippedTokens = words(messages.getLast().content()).size();
			messages = messages.subList(0, messages.size() - 1);
		}
		return new DeterministicText(seed(body.model(), messages), skippedTokens);
	}

	/**
	 * Returns a token of the answer.
	 * @param position the 1-based position among the tokens that this request generates
	 * @return the text
	 */
	public String token(int position) {
		long mixed = (this.seed + this.skippedTokens + position) * 0x9E3779B97F4A7C15L;
		mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
		mixed ^= mixed >>> 27;
		return "w" + Long.toString(mixed & WORD_MASK, Character.MAX_RADIX) + " ";
	}

	/**
	 * Returns the number of tokens up to the natural end of the answer.
	 * @return the number of remaining tokens, at least 0
	 */
	public int naturalTokens() {
		int total = MIN_LENGTH + (int) Math.floorMod(this.seed, (long) LENGTH_SPREAD);
		return Math.max(0, total - this.skippedTokens);
	}

	/**
	 * Returns the first tokens of the answer as one text.
	 * @param tokens the number of tokens
	 * @return the text
	 */
	public String text(int tokens) {
		StringBuilder text = new StringBuilder();
		for (int position = 1; position <= tokens; position++) {
			text.append(token(position));
		}
		return text.toString();
	}

	/**
	 * Returns the hashes of a prompt's tokens, the unit of the prefix cache.
	 * @param body the request
	 * @return one number per word of all messages, in order
	 */
	public static int[] promptTokens(ChatBody body) {
		List<String> all = new ArrayList<>();
		body.messages().forEach((message) -> all.addAll(words(message.content())));
		return all.stream().mapToInt(String::hashCode).toArray();
	}

	private static List<String> words(String text) {
		String stripped = text.strip();
		return (stripped.isEmpty()) ? List.of() : List.of(stripped.split("\\s+"));
	}

	private static long seed(String model, List<ChatBody.Message> messages) {
		try {
			MessageDigest digest = MessageDigest.getInstance("SHA-256");
			digest.update(model.getBytes(StandardCharsets.UTF_8));
			for (ChatBody.Message message : messages) {
				digest.update((byte) 0);
				digest.update(message.role().getBytes(StandardCharsets.UTF_8));
				digest.update((byte) 1);
				digest.update(message.content().getBytes(StandardCharsets.UTF_8));
			}
			return java.nio.ByteBuffer.wrap(digest.digest()).getLong();
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is missing", ex);
		}
	}

}
