package io.fescuehold.runtime.http;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * The fields of a request head, which are counted against the memory of the host while
 * the head is parsed. As soon as a head is too large, its fields are dropped, except
 * those that tell the decoder where the request ends.
 */
final class CountedHeaders extends DefaultHttpHeaders {

	/** The memory of a field beside its characters: entry, strings and their copies. */
	static final int FIELD_BYTES = 256;

	/** How often the characters of a field are held: as received and as forwarded. */
	private static final int COPIES = 2;

	/** The fewest bytes between and behind name and value. */
	private static final int SEPARATOR_BYTES = 3;

	private static final int MAX_FRAMING_FIELDS = 16;

	private static final Set<String> FRAMING = Set.of("content-length", "transfer-encoding", "connection", "host",
			"expect");

	private final ConnectionAccount account;

	private final int maxBytes;

	private long receivedBytes;

	private long usedBytes;

	private long reservedBytes;

	private HeadExcess excess = HeadExcess.NONE;

	/**
	 * Creates an empty head.
	 * @param account counts the memory
	 * @param maxBytes the maximum size of all fields in bytes
	 */
	CountedHeaders(ConnectionAccount account, int maxBytes) {
		this.account = account;
		this.maxBytes = maxBytes;
	}

	@Override
	public HttpHeaders add(String name, Object value) {
		return admits(name, value) ? super.add(name, value) : this;
	}

	@Override
	public HttpHeaders add(CharSequence name, Object value) {
		return admits(name, value) ? super.add(name, value) : this;
	}

	private boolean admits(CharSequence name, Object value) {
		int characters = name.length() + ((value instanceof CharSequence text) ? text.length() : 0);
		this.receivedBytes += characters + SEPARATOR_BYTES;
		if (this.excess == HeadExcess.NONE) {
			if (this.receivedBytes > this.maxBytes) {
				exceed(HeadExcess.TOO_LARGE);
			}
			else if (!tryCharge(FIELD_BYTES + COPIES * characters)) {
				exceed(HeadExcess.MEMORY_FULL);
			}
		}
		return this.excess == HeadExcess.NONE
				|| FRAMING.contains(name.toString().toLowerCase(Locale.ROOT)) && size() < MAX_FRAMING_FIELDS;
	}

	/**
	 * Drops the fields.
	 * @param reason what the head exceeds
	 */
	void exceed(HeadExcess reason) {
		this.excess = reason;
		List<Map.Entry<String, String>> framing = entries().stream()
			.filter((field) -> FRAMING.contains(field.getKey().toLowerCase(Locale.ROOT)))
			.limit(MAX_FRAMING_FIELDS)
			.toList();
		clear();
		framing.forEach((field) -> super.add(field.getKey(), field.getValue()));
		release();
	}

	/**
	 * Counts memory of this head.
	 * @param bytes the number of bytes
	 * @return whether the host may hold them
	 */
	boolean tryCharge(int bytes) {
		this.usedBytes += bytes;
		while (this.reservedBytes < this.usedBytes) {
			int step = this.account.reserveStep();
			if (step == 0) {
				return false;
			}
			this.reservedBytes += step;
		}
		return true;
	}

	/**
	 * Returns the memory of this head.
	 */
	void release() {
		this.account.release(this.reservedBytes);
		this.reservedBytes = 0;
	}

	/**
	 * Returns what the head exceeds.
	 * @return the excess, NONE if the head is complete
	 */
	HeadExcess excess() {
		return this.excess;
	}

	int maxBytes() {
		return this.maxBytes;
	}

	long receivedBytes() {
		return this.receivedBytes;
	}

}
