/**
 * Whether what a daemon knows is still current.
 */
package io.fescuehold.core.freshness;
