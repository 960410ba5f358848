/**
 * Tracks how long ago the configuration of a daemon was known to be current.
 */
package io.fescuehold.core.freshness;
