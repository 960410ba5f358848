package io.fescuehold.core.prompt;

import java.util.Objects;

/**
 * A part of a prompt that other prompts may share.
 *
 * @param id the id; equal parts have equal ids
 * @param tokens its length in tokens
 */
public record PromptPart(String id, int tokens) {

	/**
	 * Checks the arguments.
	 */
	public PromptPart {
		Objects.requireNonNull(id, "id");
		tokens = Math.max(0, tokens);
	}

}
