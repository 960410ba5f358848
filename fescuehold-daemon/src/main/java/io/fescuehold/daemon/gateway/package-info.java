/**
 * The daemon of a gateway fleet whose members discover each other.
 */
package io.fescuehold.daemon.gateway;
