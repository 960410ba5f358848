package io.fescuehold.core.stream;

/**
 * A complete event of a stream.
 *
 * @param bytes the event as sent by the server, including the terminating empty line
 * @param position the id of the event, or 0 if it has none
 */
public record StreamEvent(byte[] bytes, long position) {

}
