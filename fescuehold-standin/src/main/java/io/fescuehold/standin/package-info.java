/**
 * Command line of the stand-ins.
 */
package io.fescuehold.standin;
