package io.fescuehold.runtime.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import com.google.common.flogger.FluentLogger;

/**
 * Logs which servers begin and end to be cold, in one line for all that change together.
 * Not thread-safe apart from the count: confined to one thread.
 */
final class ColdServerMonitor {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final int MAX_LOGGED_SERVERS = 8;

	private Set<String> cold = Set.of();

	private volatile int count;

	/**
	 * Takes over the servers that are cold now.
	 * @param coldNow the instance ids
	 */
	void update(Set<String> coldNow) {
		if (!coldNow.equals(this.cold)) {
			log("begin", difference(coldNow, this.cold), coldNow.size());
			log("end", difference(this.cold, coldNow), coldNow.size());
			this.cold = coldNow;
			this.count = coldNow.size();
		}
	}

	private static List<String> difference(Set<String> ids, Set<String> others) {
		Set<String> difference = new HashSet<>(ids);
		difference.removeAll(others);
		return difference.stream().sorted().toList();
	}

	private static void log(String change, List<String> ids, int coldCount) {
		if (!ids.isEmpty()) {
			logger.atInfo()
				.log("%d servers %s to be cold, among them %s; %d are cold now", ids.size(), change,
						ids.subList(0, Math.min(ids.size(), MAX_LOGGED_SERVERS)), coldCount);
		}
	}

	/**
	 * Returns the number of cold servers. May be called by any thread.
	 * @return the number of servers that were cold at the last update
	 */
	int count() {
		return this.count;
	}

}
