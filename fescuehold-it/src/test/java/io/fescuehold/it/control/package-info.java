/**
 * Tests the agreed configuration under failure, with real processes.
 */
package io.fescuehold.it.control;
