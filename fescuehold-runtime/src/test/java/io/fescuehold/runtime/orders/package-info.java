/**
 * Tests of orders to model servers.
 */
package io.fescuehold.runtime.orders;
