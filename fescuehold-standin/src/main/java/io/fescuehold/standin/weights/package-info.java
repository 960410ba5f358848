/**
 * Stand-in for the rate-limited weight store.
 */
package io.fescuehold.standin.weights;
