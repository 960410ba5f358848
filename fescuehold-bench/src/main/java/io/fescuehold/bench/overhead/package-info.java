/**
 * Measures the latency and CPU time that a router adds to a request.
 */
package io.fescuehold.bench.overhead;
