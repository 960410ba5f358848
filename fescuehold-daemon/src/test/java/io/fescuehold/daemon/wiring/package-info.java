/**
 * Tests of the connections between core and runtime.
 */
package io.fescuehold.daemon.wiring;
