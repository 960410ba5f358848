/**
 * Messages and polling for the exchange of load reports.
 */
package io.fescuehold.runtime.control.load;
