/**
 * Tests of the stand-ins.
 */
package io.fescuehold.standin;
