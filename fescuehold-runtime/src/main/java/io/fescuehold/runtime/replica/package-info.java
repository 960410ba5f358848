/**
 * Runs a replica of an agreement group on top of its storage, a transport and a state
 * machine.
 */
package io.fescuehold.runtime.replica;
