/**
 * One daemon of a fleet of gateways whose members discover each other.
 */
package io.fescuehold.daemon.gateway;
