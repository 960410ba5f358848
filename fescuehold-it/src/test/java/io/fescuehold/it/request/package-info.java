/**
 * Tests of the request path under failure, with real processes.
 */
package io.fescuehold.it.request;
