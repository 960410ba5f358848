/**
 * Tests of the replicated state machine.
 */
package io.fescuehold.core.state;
