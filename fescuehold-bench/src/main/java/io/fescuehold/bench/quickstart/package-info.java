/**
 * The quick start: a small fleet of separate processes and requests through it.
 */
package io.fescuehold.bench.quickstart;
