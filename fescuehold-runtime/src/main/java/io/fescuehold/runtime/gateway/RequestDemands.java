package io.fescuehold.runtime.gateway;

import java.util.HashMap;
import java.util.Map;

import io.fescuehold.core.placement.OutputLengthEstimator;
import io.fescuehold.core.prompt.PromptShape;
import io.fescuehold.core.servers.RequestDemand;

/**
 * Derives what requests ask for. The tokens that a request generates are the mean of the
 * caller's estimate, which is often far off, and of what its route generated before. Not
 * thread-safe.
 */
final class RequestDemands {

	private final Map<String, OutputLengthEstimator> outputLengths = new HashMap<>();

	/**
	 * Returns what a request asks for.
	 * @param request the request
	 * @return its demand
	 */
	RequestDemand of(GatewayRequest request) {
		PromptShape prompt = request.head().prompt();
		return (prompt != null) ? request.demand(prompt.promptTokens(), writeTokens(request, prompt))
				: request.demand(0, 0);
	}

	private int writeTokens(GatewayRequest request, PromptShape prompt) {
		OutputLengthEstimator seen = this.outputLengths.get(request.route().name());
		int maxTokens = Math.max(0, prompt.maxOutputTokens());
		double hinted = (maxTokens > 0) ? Math.min(maxTokens, prompt.lengthHint()) : prompt.lengthHint();
		if (seen == null) {
			return (int) ((hinted > 0) ? hinted : maxTokens);
		}
		double seenTokens = seen.expectedTokens(maxTokens);
		return (int) Math.round((hinted > 0) ? (hinted + seenTokens) / 2 : seenTokens);
	}

	/**
	 * Records how many tokens a complete stream had.
	 * @param route the name of its route
	 * @param tokens the number of tokens
	 */
	void recordOutput(String route, long tokens) {
		this.outputLengths.computeIfAbsent(route, (name) -> new OutputLengthEstimator()).update(tokens);
	}

}
