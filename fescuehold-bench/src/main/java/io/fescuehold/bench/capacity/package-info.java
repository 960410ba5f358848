/**
 * Measures how state and work grow with chats, servers, teams and records, for the
 * capacity page.
 */
package io.fescuehold.bench.capacity;
