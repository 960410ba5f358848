/**
 * Admission of teams and queueing of requests while model servers are congested.
 */
package io.fescuehold.core.limits;
