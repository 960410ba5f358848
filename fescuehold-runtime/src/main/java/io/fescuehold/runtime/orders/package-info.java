/**
 * Orders to model servers.
 */
package io.fescuehold.runtime.orders;
