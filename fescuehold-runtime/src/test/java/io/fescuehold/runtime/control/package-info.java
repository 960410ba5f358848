/**
 * Tests of the control plane of a daemon.
 */
package io.fescuehold.runtime.control;
