/**
 * Starts real processes for integration tests and kills them when the test ends.
 */
package io.fescuehold.it.harness;
