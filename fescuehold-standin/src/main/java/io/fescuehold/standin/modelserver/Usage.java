package io.fescuehold.standin.modelserver;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Token usage of a request.
 *
 * @param promptTokens the number of prompt tokens
 * @param completionTokens the number of tokens generated
 * @param details the prompt tokens found in the cache
 */
record Usage(@JsonProperty("prompt_tokens") int promptTokens, @JsonProperty("completion_tokens") int completionTokens,
		@JsonProperty("prompt_tokens_details") Details details) {

	static Usage of(Generation generation) {
		return new Usage(generation.prompt().length, generation.generatedTokens(),
				new Details(generation.cachedTokens()));
	}

	/**
	 * The cached part of the prompt.
	 *
	 * @param cachedTokens the number of tokens found in the cache
	 */
	record Details(@JsonProperty("cached_tokens") int cachedTokens) {
	}

}
