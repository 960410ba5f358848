package io.fescuehold.standin.service;

/**
 * The faults of a plain service. Each request to set faults replaces all of them; a fault
 * that is omitted is off.
 *
 * @param executeThenDrop whether the connection is reset after the execution and before
 * the response
 * @param dropBeforeExecute whether the connection is reset before the execution
 * @param silent whether the request is executed and never answered
 * @param answer500 whether requests are answered with status 500 without execution
 * @param answerDelayMs the time between execution and response in milliseconds
 * @param refuseConnections whether new connections are refused
 * @param flapPeriodMs the length in milliseconds of the periods of which every other one
 * refuses connections, or 0 for none
 * @param times the number of requests that the request faults apply to, or 0 for all
 */
public record ServiceFaults(boolean executeThenDrop, boolean dropBeforeExecute, boolean silent, boolean answer500,
		int answerDelayMs, boolean refuseConnections, int flapPeriodMs, int times) {

	/** No faults. */
	public static final ServiceFaults NONE = new ServiceFaults(false, false, false, false, 0, false, 0, 0);

	/** Resets the connection after the execution and before the response. */
	public static final ServiceFaults EXECUTE_THEN_DROP = new ServiceFaults(true, false, false, false, 0, false, 0, 0);

	/** Resets the connection before the execution. */
	public static final ServiceFaults DROP_BEFORE_EXECUTE = new ServiceFaults(false, true, false, false, 0, false, 0,
			0);

	/** Executes and never responds. */
	public static final ServiceFaults SILENT = new ServiceFaults(false, false, true, false, 0, false, 0, 0);

	/** Answers with status 500 without execution. */
	public static final ServiceFaults ANSWER_500 = new ServiceFaults(false, false, false, true, 0, false, 0, 0);

	/** Refuses new connections. */
	public static final ServiceFaults REFUSE = new ServiceFaults(false, false, false, false, 0, true, 0, 0);

	/**
	 * Returns a copy whose request faults apply to a limited number of requests.
	 * @param newTimes the number of requests, or 0 for all
	 * @return the copy
	 */
	public ServiceFaults withTimes(int newTimes) {
		return new ServiceFaults(this.executeThenDrop, this.dropBeforeExecute, this.silent, this.answer500,
				this.answerDelayMs, this.refuseConnections, this.flapPeriodMs, newTimes);
	}

	/**
	 * Returns a copy with another response delay.
	 * @param newAnswerDelayMs the time between execution and response in milliseconds
	 * @return the copy
	 */
	public ServiceFaults withAnswerDelayMs(int newAnswerDelayMs) {
		return new ServiceFaults(this.executeThenDrop, this.dropBeforeExecute, this.silent, this.answer500,
				newAnswerDelayMs, this.refuseConnections, this.flapPeriodMs, this.times);
	}

}
