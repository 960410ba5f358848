package io.fescuehold.core.port;

/**
 * Marks the messages between daemons. Each group of messages is a sealed interface of
 * records in its own package.
 */
public interface PeerMessage {

}
