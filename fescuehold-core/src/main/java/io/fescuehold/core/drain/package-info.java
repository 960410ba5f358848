/**
 * Graceful shutdown of hosts and removal of servers.
 */
package io.fescuehold.core.drain;
