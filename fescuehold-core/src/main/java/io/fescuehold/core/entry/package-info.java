/**
 * Selection of the addresses that callers connect to.
 */
package io.fescuehold.core.entry;
