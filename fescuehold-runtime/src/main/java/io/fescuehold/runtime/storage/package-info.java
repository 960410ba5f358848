/**
 * The disk store of a replica.
 */
package io.fescuehold.runtime.storage;
