/**
 * Fleet whose daemons discover each other from a few seed addresses: one daemon leads,
 * the others pull updates from it and report to it.
 */
package io.fescuehold.runtime.discovery;
