package io.fescuehold.core.quarantine;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Base64;
import java.util.Objects;

import io.fescuehold.core.placement.RendezvousHash;

/**
 * What stays the same when a request is sent again: its method, path, caller and body,
 * but neither its id nor its headers. The digest is only computed when it is needed,
 * because most requests never are suspected of anything. Not thread-safe.
 */
public final class RequestIdentity {

	/** The ids of prompt parts cannot contain the comma, so that the two never clash. */
	private static final String PREFIX = "request,";

	private final String method;

	private final String path;

	private final String caller;

	private final byte[] body;

	private String key;

	private String id;

	/**
	 * Creates an identity.
	 * @param method the HTTP method
	 * @param path the path and query
	 * @param caller the name of the caller, or null if it is not known
	 * @param body the body, which must not change afterwards
	 */
	public RequestIdentity(String method, String path, String caller, byte[] body) {
		this.method = Objects.requireNonNull(method, "method");
		this.path = Objects.requireNonNull(path, "path");
		this.caller = Objects.requireNonNullElse(caller, "");
		this.body = Objects.requireNonNull(body, "body");
	}

	/**
	 * Returns a prefix of the id that does not depend on the content of the body.
	 * @return the prefix, equal for equal requests and usually different for others
	 */
	String key() {
		if (this.key == null) {
			this.key = PREFIX + Long.toHexString(RendezvousHash.hash(this.caller)) + ","
					+ Long.toHexString(RendezvousHash.hash(this.method + " " + this.path)) + "," + this.body.length
					+ ",";
		}
		return this.key;
	}

	/**
	 * Returns the id. It contains a SHA-256 digest of all that identifies the request, so
	 * that no caller can send a request with the id of another caller's.
	 * @return the id, the same at all hosts
	 */
	public String id() {
		if (this.id == null) {
			this.id = key() + Base64.getUrlEncoder().withoutPadding().encodeToString(digest());
		}
		return this.id;
	}

	private byte[] digest() {
		try {
			MessageDigest digest = MessageDigest.getInstance("SHA-256");
			for (String field : new String[] { this.method, this.path, this.caller }) {
				byte[] bytes = field.getBytes(StandardCharsets.UTF_8);
				digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).flip());
				digest.update(bytes);
			}
			return digest.digest(this.body);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("Every Java platform has SHA-256", ex);
		}
	}

	/**
	 * Returns whether the id of a feature is that of a request as a whole.
	 * @param feature the id of a prompt part or of a request
	 * @return whether it is the id of a request
	 */
	public static boolean isRequest(String feature) {
		return feature.startsWith(PREFIX);
	}

	/**
	 * Returns the key of the request with an id.
	 * @param id the id
	 * @return the prefix of the id that {@link #key()} returns
	 */
	static String keyOf(String id) {
		return id.substring(0, id.lastIndexOf(',') + 1);
	}

	/**
	 * Returns who sent the request with an id.
	 * @param id the id
	 * @return a text that is the same for all requests of one caller
	 */
	static String callerOf(String id) {
		int end = id.indexOf(',', PREFIX.length());
		return (end >= 0) ? id.substring(0, end) : id;
	}

}
