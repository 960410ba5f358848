/**
 * Work that is done while a backend server leaves.
 */
package io.fescuehold.runtime.drain;
