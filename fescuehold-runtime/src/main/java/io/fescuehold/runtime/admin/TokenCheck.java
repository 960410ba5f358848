package io.fescuehold.runtime.admin;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;

import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;

/**
 * Authenticates the token of a request and checks its permissions. All tokens are
 * compared in constant time, so that response times reveal nothing about them.
 */
final class TokenCheck {

	private static final String SCHEME = "Bearer ";

	private final List<TokenDigest> tokens;

	/**
	 * Creates a check.
	 * @param tokens the accepted tokens
	 */
	TokenCheck(List<AdminToken> tokens) {
		this.tokens = tokens.stream()
			.map((token) -> new TokenDigest(HexFormat.of().parseHex(token.sha256().toLowerCase(java.util.Locale.ROOT)),
					token))
			.toList();
	}

	/**
	 * Returns the token of a request; fails with code NOT_AUTHORISED if it is missing or
	 * not accepted.
	 * @param authorization the Authorization header, or null
	 * @param action the action, for the error message
	 * @return the token
	 */
	AdminToken authenticate(String authorization, String action) {
		AdminToken found = null;
		if (authorization != null && authorization.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
			byte[] digest = sha256(authorization.substring(SCHEME.length()).trim());
			for (TokenDigest candidate : this.tokens) {
				if (MessageDigest.isEqual(candidate.sha256(), digest)) {
					found = candidate.token();
				}
			}
		}
		if (found == null) {
			throw new FescueholdException(ErrorCode.NOT_AUTHORISED, action);
		}
		return found;
	}

	/**
	 * Checks that a token permits an action; fails with code FORBIDDEN if it does not.
	 * @param token the token
	 * @param share the share that the action concerns, or null if it concerns the host
	 * @param role the role that the action requires
	 * @param action the action, for the error message
	 */
	static void checkAllowed(AdminToken token, String share, AdminToken.Role role, String action) {
		boolean roleAllows = token.role() == AdminToken.Role.ADMIN || token.role() == role;
		if (!roleAllows || (share != null && !token.isFor(share))) {
			throw new FescueholdException(ErrorCode.FORBIDDEN, action);
		}
	}

	private static byte[] sha256(String text) {
		try {
			return MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is missing from this Java runtime", ex);
		}
	}

	/**
	 * A token with its decoded digest.
	 *
	 * @param sha256 the digest
	 * @param token the token
	 */
	private record TokenDigest(byte[] sha256, AdminToken token) {

	}

}
