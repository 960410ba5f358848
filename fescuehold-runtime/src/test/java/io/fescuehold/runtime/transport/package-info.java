/**
 * Tests of the messages between daemons.
 */
package io.fescuehold.runtime.transport;
