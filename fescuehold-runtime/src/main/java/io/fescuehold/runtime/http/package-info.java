/**
 * The HTTP server of a router, which forwards the requests of callers to backend servers.
 */
package io.fescuehold.runtime.http;
