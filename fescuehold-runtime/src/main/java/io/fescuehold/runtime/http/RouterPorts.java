package io.fescuehold.runtime.http;

import io.fescuehold.core.placement.PlacementPolicy;
import io.fescuehold.core.port.FleetViews;
import io.fescuehold.core.port.LoadReports;
import io.fescuehold.core.port.SharedState;
import io.fescuehold.runtime.http.port.Admission;
import io.fescuehold.runtime.http.port.EntrySelection;
import io.fescuehold.runtime.http.port.RetryAllowance;
import io.fescuehold.runtime.http.port.StreamHandover;

/**
 * The interfaces through which a router's HTTP server uses the rest of the daemon.
 *
 * @param hostId the host id of this daemon
 * @param views the configuration in force
 * @param loads the newest load reports
 * @param state the replicated state of calls that run at most once
 * @param placement the policy that selects model servers; calls to it are serialised
 * @param admission the admission of requests to model servers
 * @param retries the budget of retries
 * @param entries the selection of router addresses
 * @param handover the announcement of resumed streams to other routers
 */
public record RouterPorts(String hostId, FleetViews views, LoadReports loads, SharedState state,
		PlacementPolicy placement, Admission admission, RetryAllowance retries, EntrySelection entries,
		StreamHandover handover) {

}
