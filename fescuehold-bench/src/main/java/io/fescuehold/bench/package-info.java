/**
 * Commands that try out and measure the fleet.
 */
package io.fescuehold.bench;
