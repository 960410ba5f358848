package io.fescuehold.client;

/**
 * The failure of a call. It states a code, whether the request was run and what the
 * caller can do.
 */
public class FescueholdClientException extends RuntimeException {

	/** No router could be reached. */
	public static final String NO_ROUTER = "NO_ROUTER";

	/** The connection to a router was lost or silent before the answer was complete. */
	public static final String CONNECTION_LOST = "CONNECTION_LOST";

	/** The deadline passed before the answer was complete. */
	public static final String DEADLINE_EXCEEDED = "DEADLINE_EXCEEDED";

	private static final long serialVersionUID = 1L;

	private final String code;

	private final RunStatus run;

	private final String remedy;

	private final long retryAfterMs;

	/**
	 * Creates an exception.
	 * @param code the code, of a router's rejection or one of this class
	 * @param run whether the request was run
	 * @param message names what failed
	 * @param remedy what the caller can do
	 * @param retryAfterMs the time after which a retry helps, or 0
	 * @param cause the cause, or null
	 */
	public FescueholdClientException(String code, RunStatus run, String message, String remedy, long retryAfterMs,
			Throwable cause) {
		super(code + " (run: " + run.name().toLowerCase(java.util.Locale.ROOT) + "): " + withRemedy(message, remedy),
				cause);
		this.code = code;
		this.run = run;
		this.remedy = remedy;
		this.retryAfterMs = retryAfterMs;
	}

	// Messages of routers end with their remedy already.
	private static String withRemedy(String message, String remedy) {
		return message.endsWith(remedy) ? message : message + "; " + remedy;
	}

	/**
	 * Returns the code.
	 * @return the code
	 */
	public String code() {
		return this.code;
	}

	/**
	 * Returns whether the request was run.
	 * @return the run status
	 */
	public RunStatus run() {
		return this.run;
	}

	/**
	 * Returns what the caller can do.
	 * @return the remedy
	 */
	public String remedy() {
		return this.remedy;
	}

	/**
	 * Returns the time after which a retry helps.
	 * @return the time in milliseconds, or 0 if a later retry does not help
	 */
	public long retryAfterMs() {
		return this.retryAfterMs;
	}

}
