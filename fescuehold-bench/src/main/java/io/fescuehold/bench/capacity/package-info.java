/**
 * Measures how memory, message sizes and execution times grow with the number of chats,
 * servers, teams and records, for the capacity page.
 */
package io.fescuehold.bench.capacity;
