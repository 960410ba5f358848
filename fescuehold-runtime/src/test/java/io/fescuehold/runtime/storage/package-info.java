/**
 * Tests of the disk store.
 */
package io.fescuehold.runtime.storage;
