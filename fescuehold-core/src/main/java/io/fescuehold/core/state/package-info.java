/**
 * The replicated state machine of a share: configurations and call records.
 */
package io.fescuehold.core.state;
