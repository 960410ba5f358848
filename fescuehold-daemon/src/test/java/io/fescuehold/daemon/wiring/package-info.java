/**
 * Tests of the connections between decisions and adapters.
 */
package io.fescuehold.daemon.wiring;
