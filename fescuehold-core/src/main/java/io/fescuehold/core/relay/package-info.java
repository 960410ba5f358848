/**
 * The relay tree that distributes load samples and configuration to the daemons.
 */
package io.fescuehold.core.relay;
