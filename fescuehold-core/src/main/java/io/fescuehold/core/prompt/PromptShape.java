package io.fescuehold.core.prompt;

import java.util.List;

/**
 * The structure of a prompt, as known before it is prefilled.
 *
 * @param parts the parts in order; the last one belongs to this request or its session
 * @param maxOutputTokens the maximum number of tokens to generate
 * @param lengthHint the caller's estimate of the number of tokens to generate, or 0 if it
 * gives none
 */
public record PromptShape(List<PromptPart> parts, int maxOutputTokens, int lengthHint) {

	/**
	 * Copies the list.
	 */
	public PromptShape {
		parts = List.copyOf(parts);
		lengthHint = Math.max(0, lengthHint);
	}

	/**
	 * Creates a shape without an estimate of the caller.
	 * @param parts the parts in order
	 * @param maxOutputTokens the maximum number of tokens to generate
	 */
	public PromptShape(List<PromptPart> parts, int maxOutputTokens) {
		this(parts, maxOutputTokens, 0);
	}

	/**
	 * Returns the part that determines the home server of the prompt: the deepest one
	 * that other requests share.
	 * @return the second-to-last part, or the only part, or null without parts
	 */
	public PromptPart subject() {
		return switch (this.parts.size()) {
			case 0 -> null;
			case 1 -> this.parts.getFirst();
			default -> this.parts.get(this.parts.size() - 2);
		};
	}

	/**
	 * Returns the parts that other requests share.
	 * @return all parts but the last
	 */
	public List<PromptPart> sharedParts() {
		return this.parts.isEmpty() ? this.parts : this.parts.subList(0, this.parts.size() - 1);
	}

	/**
	 * Returns the length of the prompt.
	 * @return the length in tokens
	 */
	public int promptTokens() {
		return (int) Math.min(Integer.MAX_VALUE, this.parts.stream().mapToLong(PromptPart::tokens).sum());
	}

}
