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

	/**
	 * Returns whether a refusal has to do with the host and not with the request, so that
	 * another host may pass the request on.
	 * @param refusal the refusal of a host
	 * @return whether another host may be tried
	 */
	static boolean isOfHost(FescueholdException refusal) {
		return switch (refusal.code()) {
			case DRAINING, NO_SERVER, NO_ROUTE, UNKNOWN_KEY, ROUTING_STALE -> true;
			default -> false;
		};
	}

}
