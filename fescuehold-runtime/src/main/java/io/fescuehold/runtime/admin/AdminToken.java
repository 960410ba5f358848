package io.fescuehold.runtime.admin;

/**
 * A bearer token of an operator.
 *
 * @param name the name of the operator, recorded with submissions
 * @param sha256 the SHA-256 of the token in hexadecimal
 * @param share the share that the token is for, or {@value #ALL_SHARES}
 * @param role what the token allows
 */
public record AdminToken(String name, String sha256, String share, Role role) {

	/** Stands for every share. */
	public static final String ALL_SHARES = "*";

	/**
	 * Tells whether the token is for a share.
	 * @param otherShare the share
	 * @return whether it is
	 */
	boolean isFor(String otherShare) {
		return this.share.equals(ALL_SHARES) || this.share.equals(otherShare);
	}

	/**
	 * What a token allows.
	 */
	public enum Role {

		/** Reads and changes. */
		ADMIN,

		/** Reads only. */
		VIEWER

	}

}
