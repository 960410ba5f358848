/**
 * An open-loop load on running processes.
 */
package io.fescuehold.bench.load;
