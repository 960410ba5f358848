/**
 * The caller library: entry lookup, failover, stream resume and safe retry behind a
 * single call.
 */
package io.fescuehold.client;
