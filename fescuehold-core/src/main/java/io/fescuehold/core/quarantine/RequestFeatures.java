package io.fescuehold.core.quarantine;

import java.util.HashSet;
import java.util.Set;

import io.fescuehold.core.prompt.PromptPart;
import io.fescuehold.core.prompt.PromptShape;

/**
 * The features of a request that can make it crash servers: each part of its prompt that
 * other requests share, and the request as a whole.
 *
 * @param prompt the prompt, or null if the request has none
 * @param identity the request as a whole, or null if it is not known
 */
public record RequestFeatures(PromptShape prompt, RequestIdentity identity) {

	/**
	 * Returns the ids of the parts of the prompt that other requests may share.
	 * @return the ids, empty without a prompt
	 */
	public Set<String> partIds() {
		Set<String> ids = new HashSet<>();
		if (this.prompt != null) {
			for (PromptPart part : this.prompt.sharedParts()) {
				if (!RequestIdentity.isRequest(part.id())) {
					ids.add(part.id());
				}
			}
		}
		return ids;
	}

	/**
	 * Returns the ids of all features, which computes the digest of the request.
	 * @return the ids of the shared parts and of the request
	 */
	public Set<String> ids() {
		Set<String> ids = partIds();
		if (this.identity != null) {
			ids.add(this.identity.id());
		}
		return ids;
	}

}
