package io.fescuehold.core.stream;

/**
 * A whole event of a stream.
 *
 * @param bytes the event as the server sent it, with the empty line that ends it
 * @param position its id, or 0 if it has none
 */
public record StreamEvent(byte[] bytes, long position) {

}
