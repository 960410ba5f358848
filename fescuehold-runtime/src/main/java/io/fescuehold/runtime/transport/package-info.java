/**
 * Messages between daemons: TCP connections, framing and MessagePack bodies.
 */
package io.fescuehold.runtime.transport;
