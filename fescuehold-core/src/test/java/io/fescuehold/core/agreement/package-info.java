/**
 * Tests of the replicated log with simulated disks, network and clocks.
 */
package io.fescuehold.core.agreement;
