/**
 * Benchmark of the replicated log.
 */
package io.fescuehold.bench.agreement;
