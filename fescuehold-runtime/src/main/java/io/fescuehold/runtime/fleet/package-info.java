/**
 * The state of the other daemons as seen by a daemon: liveness, draining and streams that
 * were resumed through another router.
 */
package io.fescuehold.runtime.fleet;
