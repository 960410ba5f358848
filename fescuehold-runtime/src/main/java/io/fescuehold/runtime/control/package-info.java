/**
 * The control plane of a daemon: the configuration feed, the client of the shared state
 * and the exchange of load reports.
 */
package io.fescuehold.runtime.control;
