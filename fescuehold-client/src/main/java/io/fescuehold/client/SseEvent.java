package io.fescuehold.client;

/**
 * A server-sent event.
 *
 * @param id the event id, which is a position in the stream, or null
 * @param type the event type, or null
 * @param data the data
 */
record SseEvent(String id, String type, String data) {
}
