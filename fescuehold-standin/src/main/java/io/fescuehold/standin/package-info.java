/**
 * Command line of the stand-ins, which replace the external systems of the fleet in
 * tests.
 */
package io.fescuehold.standin;
