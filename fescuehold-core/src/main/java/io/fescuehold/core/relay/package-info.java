/**
 * The tree that carries load samples and configuration between daemons.
 */
package io.fescuehold.core.relay;
