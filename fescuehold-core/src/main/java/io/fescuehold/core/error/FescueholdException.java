package io.fescuehold.core.error;

/**
 * The exception for all expected failures. It carries an error code, whether the request
 * was run and when a retry may succeed.
 */
public class FescueholdException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final ErrorCode code;

	private final RunStatus run;

	private final long retryAfterMs;

	/**
	 * Creates an exception for a request that was not run and for which a retry does not
	 * help.
	 * @param code the code
	 * @param arguments the arguments of the code's message
	 */
	public FescueholdException(ErrorCode code, Object... arguments) {
		this(code, RunStatus.NO, 0, code.message(arguments));
	}

	private FescueholdException(ErrorCode code, RunStatus run, long retryAfterMs, String message) {
		super(message);
		this.code = code;
		this.run = run;
		this.retryAfterMs = retryAfterMs;
	}

	/**
	 * Creates an exception.
	 * @param code the code
	 * @param run whether the request was run
	 * @param retryAfterMs the time in milliseconds after which a retry may succeed, or 0
	 * @param arguments the arguments of the code's message
	 * @return the exception
	 */
	public static FescueholdException of(ErrorCode code, RunStatus run, long retryAfterMs, Object... arguments) {
		return new FescueholdException(code, run, retryAfterMs, code.message(arguments));
	}

	/**
	 * Creates an exception whose message another process has already formatted.
	 * @param code the code
	 * @param run whether the request was run
	 * @param retryAfterMs the time in milliseconds after which a retry may succeed, or 0
	 * @param message the formatted message
	 * @return the exception
	 */
	public static FescueholdException withMessage(ErrorCode code, RunStatus run, long retryAfterMs, String message) {
		return new FescueholdException(code, run, retryAfterMs, message);
	}

	/**
	 * Returns the code.
	 * @return the code
	 */
	public ErrorCode code() {
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
	 * Returns the time after which a retry may succeed.
	 * @return the time in milliseconds, or 0 if a retry does not help
	 */
	public long retryAfterMs() {
		return this.retryAfterMs;
	}

}
