/**
 * Connects the decision logic of the core with the adapters of the runtime.
 */
package io.fescuehold.daemon.wiring;
