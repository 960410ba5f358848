/**
 * Tests of replicas over an in-memory transport.
 */
package io.fescuehold.runtime.replica;
