/**
 * Tests of the replicated configuration under failure, with real processes.
 */
package io.fescuehold.it.control;
