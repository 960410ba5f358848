/**
 * Tests of the work while a backend server leaves.
 */
package io.fescuehold.runtime.drain;
