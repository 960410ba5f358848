/**
 * Drives a replica of an agreement group with a disk, a transport and a state machine.
 */
package io.fescuehold.runtime.replica;
