package io.fescuehold.runtime.gateway;

import io.fescuehold.core.error.FescueholdException;

/**
 * The failure of an attempt because the host that was to pass the request on refused it.
 */
final class RelayRefusal extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final FescueholdException refusal;

	RelayRefusal(FescueholdException refusal) {
		super(refusal.getMessage(), refusal);
		this.refusal = refusal;
	}

	FescueholdException refusal() {
		return this.refusal;
	}

}
