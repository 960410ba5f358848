/**
 * Admission control and request queueing while model servers are congested.
 */
package io.fescuehold.core.limits;
