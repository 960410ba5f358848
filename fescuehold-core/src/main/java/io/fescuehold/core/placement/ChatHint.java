package io.fescuehold.core.placement;

/**
 * Where the context of a chat was last served, as carried by the caller in the
 * {@code Fescuehold-Chat-Hint} header.
 *
 * @param serverId the model server
 * @param cachedTokens the tokens of the chat that the server held
 * @param servedAtMs the time in milliseconds since the epoch
 */
public record ChatHint(String serverId, long cachedTokens, long servedAtMs) {

	private static final int PARTS = 3;

	/**
	 * Formats the hint as a header value.
	 * @return {@code serverId;cachedTokens;servedAtMs}
	 */
	public String format() {
		return this.serverId + ";" + this.cachedTokens + ";" + this.servedAtMs;
	}

	/**
	 * Reads a header value. A hint is advisory, so a malformed one is ignored.
	 * @param value the header value, or null
	 * @return the hint, or null if there is none
	 */
	public static ChatHint parse(String value) {
		if (value == null) {
			return null;
		}
		String[] parts = value.split(";");
		if (parts.length != PARTS) {
			return null;
		}
		try {
			return new ChatHint(parts[0], Long.parseLong(parts[1]), Long.parseLong(parts[2]));
		}
		catch (NumberFormatException ex) {
			return null;
		}
	}

}
