/**
 * Starts real processes for integration tests and always ends them.
 */
package io.fescuehold.it.harness;
