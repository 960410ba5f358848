/**
 * TCP proxy that injects faults between any two ends.
 */
package io.fescuehold.standin.proxy;
