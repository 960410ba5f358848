package io.fescuehold.standin.service;

import java.nio.file.Path;

/**
 * The behaviour of a plain service.
 *
 * @param logFile the file that receives one JSON line per execution
 * @param durationMs the execution time of a request other than GET in milliseconds
 * @param checkFencing whether outdated fencing numbers are rejected
 */
public record ServiceOptions(Path logFile, int durationMs, boolean checkFencing) {

	public ServiceOptions {
		if (logFile == null || durationMs < 0) {
			throw new IllegalArgumentException("logFile is needed and durationMs must be at least 0");
		}
	}

}
