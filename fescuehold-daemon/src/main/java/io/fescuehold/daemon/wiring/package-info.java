/**
 * Connects the decisions of the core with the adapters of the runtime.
 */
package io.fescuehold.daemon.wiring;
