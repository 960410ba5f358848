/**
 * Tests of the control plane.
 */
package io.fescuehold.runtime.control;
