/**
 * A fleet whose daemons find each other from a few seed addresses: one daemon leads, the
 * others ask it for news and report to it.
 */
package io.fescuehold.runtime.discovery;
