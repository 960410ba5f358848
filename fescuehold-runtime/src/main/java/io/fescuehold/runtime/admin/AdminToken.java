package io.fescuehold.runtime.admin;

/**
 * A bearer token of an operator.
 *
 * @param name the name of the operator, recorded with submissions
 * @param sha256 the SHA-256 digest of the token in hexadecimal
 * @param share the share that the token is valid for, or {@value #ALL_SHARES}
 * @param role the permissions of the token
 */
public record AdminToken(String name, String sha256, String share, Role role) {

	/** The share of a token that is valid for all shares. */
	public static final String ALL_SHARES = "*";

	/**
	 * Returns whether the token is valid for a share.
	 * @param otherShare the share
	 * @return whether the token is valid
	 */
	boolean isFor(String otherShare) {
		return this.share.equals(ALL_SHARES) || this.share.equals(otherShare);
	}

	/**
	 * The permissions of a token.
	 */
	public enum Role {

		/** Permits reads and changes. */
		ADMIN,

		/** Permits reads only. */
		VIEWER

	}

}
