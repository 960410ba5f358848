/**
 * Tests of the selection of entry hosts.
 */
package io.fescuehold.core.entry;
