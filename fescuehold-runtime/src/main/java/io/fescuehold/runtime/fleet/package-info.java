/**
 * What a daemon knows of the other daemons: liveness, draining and streams that moved.
 */
package io.fescuehold.runtime.fleet;
