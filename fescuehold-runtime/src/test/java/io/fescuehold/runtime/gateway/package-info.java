/**
 * Tests of the gateway against scripted servers.
 */
package io.fescuehold.runtime.gateway;
