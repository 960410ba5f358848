/**
 * Benchmarks, experiments and the quick start.
 */
package io.fescuehold.bench;
