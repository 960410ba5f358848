/**
 * The replicated state machine of a share: configurations, call records, order leases and
 * transfers between shares.
 */
package io.fescuehold.core.state;
