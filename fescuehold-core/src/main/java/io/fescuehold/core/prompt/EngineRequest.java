package io.fescuehold.core.prompt;

import java.util.Objects;

import io.fescuehold.core.routes.EngineSpec;
import io.fescuehold.core.servers.RequestDemand;

/**
 * A prompt that is to be placed.
 *
 * @param service the service
 * @param prompt the prompt
 * @param demand what the request asks for
 * @param engine the engine of the service, or null if it is unknown
 */
public record EngineRequest(String service, PromptShape prompt, RequestDemand demand, EngineSpec engine) {

	/**
	 * Checks the arguments.
	 */
	public EngineRequest {
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(prompt, "prompt");
		Objects.requireNonNull(demand, "demand");
	}

	/**
	 * Creates a request of which only the prompt is known.
	 * @param prompt the prompt
	 * @return the request, without objective and deadline
	 */
	public static EngineRequest ofPrompt(PromptShape prompt) {
		return new EngineRequest("", prompt,
				new RequestDemand(prompt.promptTokens(), prompt.maxOutputTokens(), 0, "", 0, Long.MAX_VALUE), null);
	}

	/**
	 * Returns the memory of each server.
	 * @return the memory in tokens, or 0 if it is unknown
	 */
	long capacityTokens() {
		return (this.engine != null) ? this.engine.cacheTokens() : 0;
	}

}
