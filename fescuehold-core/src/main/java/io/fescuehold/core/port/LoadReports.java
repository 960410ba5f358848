package io.fescuehold.core.port;

import java.util.Map;

import io.fescuehold.core.placement.ServerLoad;

/**
 * The newest load reports of the model servers known at this daemon.
 */
public interface LoadReports {

	/**
	 * Returns the newest reports.
	 * @return the reports by server id, without an entry for servers without a report
	 */
	Map<String, ServerLoad> current();

}
