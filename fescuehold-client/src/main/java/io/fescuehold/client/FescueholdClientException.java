package io.fescuehold.client;

/**
 * Thrown when a call fails. Carries an error code, whether the request was run and what
 * the caller can do.
 */
public class FescueholdClientException extends RuntimeException {

	/** No router could be reached. */
	public static final String NO_ROUTER = "NO_ROUTER";

	/**
	 * The connection to a router was lost or stopped responding before the response was
	 * complete.
	 */
	public static final String CONNECTION_LOST = "CONNECTION_LOST";

	/** The deadline passed before the response was complete. */
	public static final String DEADLINE_EXCEEDED = "DEADLINE_EXCEEDED";

	private static final long serialVersionUID = 1L;

	private final String code;

	private final RunStatus run;

	private final String remedy;

	private final long retryAfterMs;

	/**
	 * Creates an exception.
	 * @param code the error code, either from a router or one of the constants of this
	 * class
	 * @param run whether the request was run
	 * @param message what failed
	 * @param remedy what the caller can do
	 * @param retryAfterMs the time in milliseconds after which a retry may succeed, or 0
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

	// The error details of routers already end with the remedy.
	private static String withRemedy(String message, String remedy) {
		return message.endsWith(remedy) ? message : message + "; " + remedy;
	}

	/**
	 * Returns the error code.
	 * @return the code of a router's error or one of the constants of this class
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
	 * Returns the time after which a retry may succeed.
	 * @return the time in milliseconds, or 0 if none is known
	 */
	public long retryAfterMs() {
		return this.retryAfterMs;
	}

}
