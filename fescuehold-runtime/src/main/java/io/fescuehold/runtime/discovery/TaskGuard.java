package io.fescuehold.runtime.discovery;

import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;

/**
 * Runs tasks so that one that fails ends neither the other tasks nor the caller.
 */
final class TaskGuard {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private TaskGuard() {
	}

	/**
	 * Runs a task and logs its failure.
	 * @param description what the task does, for the log
	 * @param task the task
	 * @return whether the task succeeded
	 */
	static boolean run(String description, Runnable task) {
		try {
			task.run();
			return true;
		}
		// What others send may be nested more deeply than the stack of a thread.
		catch (RuntimeException | StackOverflowError ex) {
			logger.atSevere().atMostEvery(1, TimeUnit.SECONDS).withCause(ex).log("Failed to %s", description);
			return false;
		}
	}

}
