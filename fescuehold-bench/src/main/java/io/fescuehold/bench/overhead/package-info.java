/**
 * Measures what a router adds to a request.
 */
package io.fescuehold.bench.overhead;
