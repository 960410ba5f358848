/**
 * The choice of the addresses that callers use.
 */
package io.fescuehold.core.entry;
