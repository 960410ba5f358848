/**
 * Example configurations of the two deployments. Their printed form is kept under
 * {@code examples/} and checked by a test.
 */
package io.fescuehold.config.example;
