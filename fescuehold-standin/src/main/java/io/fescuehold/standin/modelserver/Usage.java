package io.fescuehold.standin.modelserver;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The tokens of a request.
 *
 * @param promptTokens the tokens of the prompt
 * @param completionTokens the tokens generated
 * @param details the tokens found in the cache
 */
record Usage(@JsonProperty("prompt_tokens") int promptTokens, @JsonProperty("completion_tokens") int completionTokens,
		@JsonProperty("prompt_tokens_details") Details details) {

	static Usage of(Generation generation) {
		return new Usage(generation.prompt().length, generation.produced(), new Details(generation.cachedTokens()));
	}

	/**
	 * The cached part of the prompt.
	 *
	 * @param cachedTokens the tokens
	 */
	record Details(@JsonProperty("cached_tokens") int cachedTokens) {
	}

}
