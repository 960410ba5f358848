/**
 * Stand-in for the list of live and leaving hosts.
 */
package io.fescuehold.standin.hosts;
