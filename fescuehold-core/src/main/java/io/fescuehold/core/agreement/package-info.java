/**
 * The replicated log of one agreement group as a pure state machine.
 */
package io.fescuehold.core.agreement;
