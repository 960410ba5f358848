/**
 * Experiments that drive the decision classes against small fakes in virtual time.
 */
package io.fescuehold.bench.experiment;
