/**
 * The quick start: sends requests through a small fleet of separate processes.
 */
package io.fescuehold.bench.quickstart;
