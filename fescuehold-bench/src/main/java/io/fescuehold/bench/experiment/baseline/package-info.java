/**
 * Placement policies for comparison.
 */
package io.fescuehold.bench.experiment.baseline;
