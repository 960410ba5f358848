package io.fescuehold.client;

/**
 * A server-sent event.
 *
 * @param id the position, or null
 * @param type the event type, or null
 * @param data the data
 */
record SseEvent(String id, String type, String data) {
}
