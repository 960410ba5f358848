/**
 * Client library for callers: entry lookup, failover, stream resumption and safe retries
 * behind a single call.
 */
package io.fescuehold.client;
