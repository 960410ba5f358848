/**
 * Open-loop load generator for a running fleet.
 */
package io.fescuehold.bench.load;
