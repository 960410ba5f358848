package io.fescuehold.runtime.http;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;

import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;

/**
 * The request target of a service call. Targets that different servers may interpret
 * differently are refused, because a call could otherwise bypass the rules for
 * non-idempotent calls.
 *
 * @param service the name of the service
 * @param rawTarget the path and query below the service name as sent by the caller
 * @param path the decoded path below the service name, against which the rules are
 * matched
 */
record ServicePath(String service, String rawTarget, String path) {

	private static final String PREFIX = "/services/";

	private static final int HEX_DIGITS = 2;

	/**
	 * Parses a request target.
	 * @param uri the path and query
	 * @return the path
	 * @throws FescueholdException with code BAD_REQUEST if the target is ambiguous
	 */
	static ServicePath of(String uri) {
		String rest = uri.substring(PREFIX.length());
		int end = indexOfFirst(rest, '/', '?');
		String target = rest.substring(end);
		if (!target.startsWith("/")) {
			target = "/" + target;
		}
		String path = decode(target.substring(0, indexOfFirst(target, '?', '#')));
		for (String segment : path.substring(1).split("/", -1)) {
			if (".".equals(segment) || "..".equals(segment)) {
				throw invalid("it contains the segment \"" + segment + "\"", "send the resolved path");
			}
		}
		if (path.contains("//")) {
			throw invalid("it contains an empty segment", "send the path without it");
		}
		return new ServicePath(rest.substring(0, end), target, path);
	}

	private static int indexOfFirst(String text, char first, char second) {
		for (int i = 0; i < text.length(); i++) {
			if (text.charAt(i) == first || text.charAt(i) == second) {
				return i;
			}
		}
		return text.length();
	}

	private static String decode(String raw) {
		ByteBuffer bytes = ByteBuffer.allocate(raw.length());
		for (int i = 0; i < raw.length(); i++) {
			char character = raw.charAt(i);
			if (character == '%') {
				bytes.put(decodeOctet(raw, i + 1));
				i += HEX_DIGITS;
			}
			else if (character > ' ' && character < '\u007f' && character != '\\') {
				bytes.put((byte) character);
			}
			else {
				throw invalid("it contains a character that must be encoded", "encode it with percent signs");
			}
		}
		try {
			return StandardCharsets.UTF_8.newDecoder().decode(bytes.flip()).toString();
		}
		catch (CharacterCodingException ex) {
			throw invalid("it is not encoded in UTF-8", "encode the path in UTF-8");
		}
	}

	private static byte decodeOctet(String raw, int start) {
		int octet;
		try {
			octet = HexFormat.fromHexDigits(raw, start, Math.min(raw.length(), start + HEX_DIGITS));
		}
		catch (NumberFormatException ex) {
			throw invalid("it contains an incomplete percent encoding", "encode a percent sign as %25");
		}
		if (raw.length() < start + HEX_DIGITS) {
			throw invalid("it contains an incomplete percent encoding", "encode a percent sign as %25");
		}
		if (octet == '/' || octet == '\\' || octet < ' ') {
			throw invalid("it contains an encoded slash, backslash or control character",
					"send such values in the query or body");
		}
		return (byte) octet;
	}

	private static FescueholdException invalid(String reason, String remedy) {
		return new FescueholdException(ErrorCode.BAD_REQUEST, "The path", reason, remedy);
	}

}
