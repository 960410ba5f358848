/**
 * Tests of the experiments.
 */
package io.fescuehold.bench.experiment;
