/**
 * Tests of the placement of requests on model servers.
 */
package io.fescuehold.core.placement;
