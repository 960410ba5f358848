/**
 * Tests of fleets whose daemons discover each other.
 */
package io.fescuehold.runtime.discovery;
