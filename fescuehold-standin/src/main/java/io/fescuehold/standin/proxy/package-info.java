/**
 * TCP proxy that injects faults into the connections between two processes.
 */
package io.fescuehold.standin.proxy;
